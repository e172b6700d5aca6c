import type { LoadEntry } from "./LoadEntry.js";

/** Tracks which entries are serving, as a load balancer in front of them would. */
export interface Balancer {
    isServing(entry: LoadEntry): boolean;
    stop(): Promise<void>;
}
