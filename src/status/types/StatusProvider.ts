import type { StatusContribution } from "./StatusContribution.js";

/** Returns what one service knows for the status report, each time it is asked. */
export type StatusProvider = () => StatusContribution;
