import type { LoadFault } from "./LoadFault.js";

/** Causes faults while load runs, and marks each at its moment. */
export type CauseFaults = (mark: (fault: Omit<LoadFault, "at">) => void) => Promise<void>;
