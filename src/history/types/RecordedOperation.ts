import type { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { ListContents } from "./ListContents.js";
import type { OperationKind } from "./OperationKind.js";
import type { ReadGuarantee } from "./ReadGuarantee.js";
import type { ServedBy } from "./ServedBy.js";

/**
 * One operation as recorded by its caller.
 *
 * Times are in milliseconds on one monotonic clock that all sessions of the history share.
 */
export interface RecordedOperation {
    readonly kind: OperationKind;
    readonly database: string;
    readonly caller: string;
    /** Operations of one session do not overlap. */
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
    /** Why the operation did not run, or why its outcome is unknown. */
    readonly reason?: string;
    /** Contents that an answered read returned, by list. */
    readonly contents?: readonly ListContents[];
    /** Maximum age of the data, as reported in the answer. */
    readonly ageMilliseconds?: number;
    readonly servedBy?: ServedBy;
}
