import type { ConnectionLoss } from "../../callerSessions/types/ConnectionLoss.js";
import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { StateRefusal } from "../../memory/types/StateRefusal.js";
import type { QuotaOutcome } from "../../quotas/types/QuotaOutcome.js";
import type { FailureCode } from "../../statements/types/FailureCode.js";
import type { OpeningReason } from "./OpeningReason.js";
import type { OwnerClass } from "./OwnerClass.js";
import type { RefusalMoment } from "./RefusalMoment.js";

/** Counters and histograms of one process. */
export interface Metrics {
    /** Counts an answered statement; without a code it succeeded. */
    countStatement(guarantee: ReadGuarantee, milliseconds: number, code?: FailureCode): void;
    /** Counts a retry of a statement after an attempt without a final answer. */
    countRetry(code: FailureCode | undefined): void;
    /** Counts a statement for which no connection became available in time. */
    countAcquisitionTimeout(): void;
    /** Counts a statement that was refused while it waited for a connection, by its class. */
    countWaitRefusal(moment: RefusalMoment, priority: number): void;
    /** Counts an attempt to open a connection to an endpoint; without a failure it succeeded. */
    countConnection(failure?: ErrorKind): void;
    /** Counts a connection that was opened in the name of an owner of a class. */
    countOpening(owner: OwnerClass, reason: OpeningReason): void;
    /** Counts an idle connection of an owner of a class that was closed to make room for another owner. */
    countEviction(evictedOwner: OwnerClass): void;
    /** Counts a statement that waits and whose owner has no connection to any endpoint that may serve it. */
    countOpeningWait(owner: OwnerClass): void;
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
    /** Counts a decision on an operation of a workspace with a quota. */
    countQuotaDecision(outcome: QuotaOutcome): void;
    /** Counts parts of quotas that this VM granted as the holder. */
    countQuotaGrants(count: number): void;
    /** Registers a gauge whose value is read at each rendering. */
    registerGauge(name: string, description: string, read: () => number): void;
    /** Registers a gauge with one label, whose values are read at each rendering. */
    registerGauge(
        name: string,
        description: string,
        read: () => ReadonlyMap<string | number, number>,
        label: string,
    ): void;
    /** Renders the metrics in the Prometheus text format. */
    render(): Promise<string>;
}
