import type { LoadEntry } from "./LoadEntry.js";

/** Knows which entries answer their health check, as a balancer in front of them would. */
export interface Balancer {
    isServing(entry: LoadEntry): boolean;
    stop(): Promise<void>;
}
