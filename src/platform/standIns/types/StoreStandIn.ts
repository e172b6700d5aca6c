import type { StoreMode } from "./StoreMode.js";

/** The platform's store, for tests: objects with revisions, conditional writes and watches. */
export interface StoreStandIn {
    /** The port it listens on. */
    readonly port: number;
    /** How it treats calls. */
    mode: StoreMode;
    /** Writes an object as the operator or an endpoint does. */
    put(kind: string, name: string, spec: unknown): void;
    remove(kind: string, name: string): void;
    read(kind: string, name: string): unknown;
    /** Forgets the history, so that watches from before are told that it is gone. */
    compact(): void;
    stop(): void;
}
