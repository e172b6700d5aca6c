import type { ServedBy } from "../../history/types/ServedBy.js";
import type { OutcomeKind } from "../../messages/types/OutcomeKind.js";

/** One answer of an entry, as parsed by the caller. */
export interface CallerReply {
    readonly outcome: OutcomeKind;
    readonly requestId?: string;
    readonly reason?: string;
    readonly message?: string;
    readonly result?: unknown;
    readonly sessionToken?: string;
    readonly transactionHandle?: string;
    readonly ageMilliseconds?: number;
    readonly servedBy?: ServedBy;
}
