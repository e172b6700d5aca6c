import type { ConfirmationOutcome } from "./ConfirmationOutcome.js";

/** How the wait for a confirmation ended, and by which replica. */
export type ConfirmationResult =
    | { readonly outcome: ConfirmationOutcome.Confirmed; readonly confirmedBy: string | undefined; }
    | { readonly outcome: ConfirmationOutcome.Superseded; }
    | { readonly outcome: ConfirmationOutcome.TimedOut; };
