import type { StatusReport } from "./StatusReport.js";

/** The part of a status report that one service knows. */
export type StatusContribution = Partial<Omit<StatusReport, "process" | "kind" | "availabilityZone">>;
