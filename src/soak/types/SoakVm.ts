import type { FaultyProxy } from "./FaultyProxy.js";

/** A VM of the soak test: one process of the real program, and its links. */
export interface SoakVm {
    readonly name: string;
    /** Link from the callers to the VM. */
    readonly callerLink: FaultyProxy;
    /** Link from the VM to the store. */
    readonly storeLink: FaultyProxy;
    /** Whether the process has been started and has not ended since. */
    isRunning(): boolean;
    /** Whether the VM accepts new connections. */
    isReady(): Promise<boolean>;
    /** Sends a signal to the process. */
    sendSignal(name: NodeJS.Signals): void;
    /** Ends the process by a signal; resolves when it has ended. */
    terminate(name: NodeJS.Signals): Promise<void>;
    /** Starts the process. */
    start(): void;
    /** Rewrites the settings file. */
    rewriteSettings(): void;
    /** Descriptions of exits of the process that the soak test did not cause. */
    readonly unexpectedExits: readonly string[];
    /** Last output of the processes of this VM. */
    output(): string;
}
