import type { StatusContribution } from "./StatusContribution.js";

/** Returns the current contribution of one service to the status report. */
export type StatusProvider = () => StatusContribution;
