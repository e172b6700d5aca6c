import type { NotRunReason } from "../../messages/types/NotRunReason.js";
import type { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { ServedBy } from "./ServedBy.js";

/** The reply to a caller. */
export type CallerReply =
    | {
        readonly outcome: OutcomeKind.Answer;
        readonly requestId: string;
        readonly result?: unknown;
        readonly sessionToken?: string;
        readonly transactionHandle?: string;
        readonly servedBy?: ServedBy;
        /** Proven upper bound on the age of the data, for a bounded-staleness read. */
        readonly ageMilliseconds?: number;
    }
    | {
        readonly outcome: OutcomeKind.NotRun;
        readonly requestId: string;
        readonly reason: NotRunReason;
        readonly message: string;
    }
    | {
        readonly outcome: OutcomeKind.OutcomeUnknown;
        readonly requestId: string;
        readonly message: string;
    };
