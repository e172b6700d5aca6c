import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import type { StatementOutcomeKind } from "./StatementOutcomeKind.js";

/** How one attempt to run a statement ended, with the answer or the error. */
export type StatementOutcome =
    | { readonly kind: StatementOutcomeKind.Answered; readonly answer: StatementAnswer; }
    | { readonly kind: StatementOutcomeKind.Refused; readonly error: TypedError; }
    | { readonly kind: StatementOutcomeKind.NotSent; readonly error: TypedError; }
    | { readonly kind: StatementOutcomeKind.Lost; readonly error: TypedError; };
