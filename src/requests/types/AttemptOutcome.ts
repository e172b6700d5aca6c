import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import type { AttemptOutcomeKind } from "./AttemptOutcomeKind.js";

/** How one attempt to run a statement ended, with the answer or the error. */
export type AttemptOutcome =
    | { readonly kind: AttemptOutcomeKind.Answered; readonly answer: StatementAnswer; }
    | { readonly kind: AttemptOutcomeKind.Refused; readonly error: TypedError; }
    | { readonly kind: AttemptOutcomeKind.NotSent; readonly error: TypedError; }
    | { readonly kind: AttemptOutcomeKind.Lost; readonly error: TypedError; };
