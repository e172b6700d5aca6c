import type { PlacementRequest } from "./PlacementRequest.js";

/** The decision which of a group's waiting statements are refused at once, because they cannot be served in time. */
export interface EarlyRefusal {
    /** Records a statement that no connection was free for. */
    recordArrival(request: PlacementRequest): void;
    /** Records that a statement waits and was not refused at once. */
    recordAdmission(request: PlacementRequest): void;
    /** Records for how long a statement held its connection. */
    recordHeld(owner: string, isPrimary: boolean, milliseconds: number): void;
    /** Lists the statements to refuse, given all that wait in the order of service. */
    listRefused(requests: readonly PlacementRequest[]): readonly PlacementRequest[];
    /** Whether a statement that has just begun to wait is refused; `listRequests` lists all in the order of service. */
    refusesArrival(request: PlacementRequest, listRequests: () => readonly PlacementRequest[]): boolean;
    /** Whether a statement that gets a connection now is expected to end within its target latency. */
    isTimely(request: PlacementRequest): boolean;
    /** Cost of an owner's statements, relative to the mean. */
    relativeCost(owner: string): number;
}
