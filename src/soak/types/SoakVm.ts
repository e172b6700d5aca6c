import type { FaultyProxy } from "./FaultyProxy.js";

/** A VM of the soak: one process of the real program, and its links. */
export interface SoakVm {
    readonly name: string;
    /** The way of its callers. */
    readonly callers: FaultyProxy;
    /** Its way to the store. */
    readonly store: FaultyProxy;
    /** Whether its process runs, as far as the soak knows. */
    isRunning(): boolean;
    /** Whether it takes new connections. */
    isReady(): Promise<boolean>;
    /** Sends a signal to its process. */
    signal(name: NodeJS.Signals): void;
    /** Ends its process by a signal; resolves when it has ended. */
    end(name: NodeJS.Signals): Promise<void>;
    /** Starts its process. */
    start(): void;
    /** Writes its settings file anew. */
    touchSettings(): void;
    /** Ends of its process that nobody ordered. */
    readonly unexpectedEnds: readonly string[];
    /** What its processes wrote last. */
    output(): string;
}
