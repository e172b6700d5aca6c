import type { QueuePlace } from "./QueuePlace.js";

/** Estimate of the time that a statement will wait for a connection, from measured service times and arrivals. */
export interface WaitEstimate {
    /** Records for how long a statement held its connection. */
    recordService(caller: string, milliseconds: number): void;
    /** Records that a caller's statement of a class began to wait. */
    recordArrival(priority: number, caller: string): void;
    /** Whether a caller's recent statements need less than its fair share of the connections. */
    isBelowFairShare(caller: string, connections: number): boolean;
    /** Expected wait in milliseconds, infinite when it would never be served; undefined without evidence. */
    expectedMilliseconds(place: QueuePlace): number | undefined;
    /** Time that a statement is expected to need once it has a connection, in milliseconds. */
    neededMilliseconds(): number;
    /** Cost of a caller's statements, relative to the mean. */
    relativeCost(caller: string): number;
}
