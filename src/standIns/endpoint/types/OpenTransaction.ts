import type { DataOverlay } from "./DataOverlay.js";

/** A transaction that has begun and has not ended. */
export interface OpenTransaction {
    readonly term: number;
    readonly isWrite: boolean;
    /** Position of the log when the transaction began; a read of data that changed later is a conflict. */
    readonly snapshotPosition: number;
    readonly readNames: ReadonlySet<string>;
    readonly overlay: DataOverlay;
}
