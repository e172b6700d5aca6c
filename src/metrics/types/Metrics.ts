import type { ConnectionLoss } from "../../callerSessions/types/ConnectionLoss.js";
import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { StateRefusal } from "../../memory/types/StateRefusal.js";
import type { FailureCode } from "../../statements/types/FailureCode.js";

/** Counters and histograms of one process. */
export interface Metrics {
    /** Counts an answered statement; without a code it succeeded. */
    countStatement(guarantee: ReadGuarantee, milliseconds: number, code?: FailureCode): void;
    /** Counts a retry of a statement after an attempt without a final answer. */
    countRetry(code: FailureCode | undefined): void;
    /** Counts a statement for which no connection became available in time. */
    countAcquisitionTimeout(): void;
    /** Counts an attempt to open a connection to an endpoint; without a failure it succeeded. */
    countConnection(failure?: ErrorKind): void;
    /** Counts a failed call to the platform's store. */
    countStoreFailure(): void;
    /** Counts that a feed found the platform's store restored from a copy. */
    countStoreRestore(): void;
    /** Counts an attempt of this VM to change a primary. */
    countPrimaryChange(isSuccessful: boolean): void;
    /** Counts a verification of a primary at the other endpoints, needed because this VM holds no lease. */
    countPrimaryVerification(isVerified: boolean): void;
    /** Counts a connection that was refused because callers hold too many bytes. */
    countMemoryRefusal(): void;
    /** Counts a statement that was refused because its session, or all, keep too many bytes. */
    countStateRefusal(reason: StateRefusal): void;
    /** Counts a caller's connection that this process refused or closed. */
    countConnectionLoss(loss: ConnectionLoss): void;
    /** Counts a connection to an endpoint that was closed because its answers are too long. */
    countLongAnswer(): void;
    /** Counts that a caller's connection was no longer read, until commands are answered. */
    countReadPause(): void;
    /** Registers a gauge whose value is read at each rendering. */
    registerGauge(name: string, description: string, read: () => number): void;
    /** Renders the metrics in the Prometheus text format. */
    render(): Promise<string>;
}
