import type { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { ListContents } from "./ListContents.js";
import type { OperationKind } from "./OperationKind.js";
import type { ReadGuarantee } from "./ReadGuarantee.js";
import type { ServedBy } from "./ServedBy.js";

/**
 * One operation as its caller saw it.
 *
 * Times are milliseconds of one monotonic clock, shared by all sessions of the history.
 */
export interface RecordedOperation {
    readonly kind: OperationKind;
    readonly database: string;
    readonly caller: string;
    /** Operations of one session follow one another. */
    readonly session: string;
    /** One list, or the two lists of a pair. */
    readonly lists: readonly string[];
    /** The appended value, unique in the whole history. */
    readonly value?: string;
    readonly requestKey?: string;
    readonly guarantee?: ReadGuarantee;
    readonly maximumAgeMilliseconds?: number;
    readonly invokedAt: number;
    readonly completedAt: number;
    readonly outcome: OutcomeKind;
    /** Why it did not run, or what is known of an unknown outcome. */
    readonly reason?: string;
    /** What an answered read returned, list by list. */
    readonly contents?: readonly ListContents[];
    /** The bound of age that came with the answer. */
    readonly ageMilliseconds?: number;
    readonly servedBy?: ServedBy;
}
