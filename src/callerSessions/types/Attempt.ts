import type { AttemptKind } from "./AttemptKind.js";
import type { StatementOutcome } from "./StatementOutcome.js";

/** Result of one attempt of a statement. */
export type Attempt =
    | { readonly kind: AttemptKind.Final; readonly outcome: StatementOutcome; }
    /** The statement did not run, or only reads: it may be retried. Without a retry, the caller gets this outcome. */
    | {
        readonly kind: AttemptKind.Retryable;
        readonly outcome: StatementOutcome;
        /** Whether an endpoint had no slot for it, so that retries are limited. */
        readonly hadNoSlot?: boolean;
    };
