import type { Address } from "../../network/types/Address.js";
import type { FaultyProxy } from "./FaultyProxy.js";

/** A VM of the soak test: one process of the real program, and its links. */
export interface SoakVm {
    readonly name: string;
    readonly callerAddress: Address;
    readonly peerAddress: Address;
    /** Link from the callers to the VM. */
    readonly callerLink: FaultyProxy;
    /** Link from the VM to the store. */
    readonly storeLink: FaultyProxy;
    /** Id of the running process; undefined when there is none. */
    processId(): number | undefined;
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
