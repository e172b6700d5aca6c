import type { StoreMode } from "./StoreMode.js";

/** The platform's store, for tests: objects with revisions, conditional writes and watches. */
export interface StoreStandIn {
    /** The port it listens on. */
    readonly port: number;
    /** Behaviour towards requests. */
    mode: StoreMode;
    /** Writes an object as the operator or an endpoint does. */
    put(kind: string, name: string, spec: unknown): void;
    remove(kind: string, name: string): void;
    read(kind: string, name: string): unknown;
    /** Discards the history; watches from an earlier revision are then answered with status 410. */
    compact(): void;
    /** Restores the store from a copy of this age: it loses all later changes, and begins a new era. */
    restoreCopy(ageMilliseconds: number): void;
    stop(): void;
}
