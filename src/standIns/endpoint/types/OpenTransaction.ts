import type { DataOverlay } from "./DataOverlay.js";

/** A transaction between its begin and its end. */
export interface OpenTransaction {
    readonly term: number;
    readonly isWrite: boolean;
    /** Position that the log had at the begin; what changed later and was read conflicts. */
    readonly snapshotPosition: number;
    readonly readNames: ReadonlySet<string>;
    readonly overlay: DataOverlay;
}
