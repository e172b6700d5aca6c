import type { AttemptKind } from "./AttemptKind.js";
import type { StatementOutcome } from "./StatementOutcome.js";

/** What came of one attempt of a statement. */
export type Attempt =
    | { readonly kind: AttemptKind.Final; readonly outcome: StatementOutcome; }
    /** It did not run, or it is a read: it may be tried again. The outcome is what the caller is told otherwise. */
    | { readonly kind: AttemptKind.Repeatable; readonly outcome: StatementOutcome; };
