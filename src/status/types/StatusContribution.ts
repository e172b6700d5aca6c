import type { StatusReport } from "./StatusReport.js";

/** The fields of a status report that one service provides. */
export type StatusContribution = Partial<Omit<StatusReport, "process" | "kind" | "availabilityZone">>;
