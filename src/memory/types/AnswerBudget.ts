import type { AnswerAccount } from "./AnswerAccount.js";

/** The bytes of answers that all connections to endpoints are receiving. */
export interface AnswerBudget {
    /** Opens the account of a connection, with functions that stop and continue reading from it, or end it. */
    openAnswers(reader: { pause(): void; resume(): void; destroy(): void; }): AnswerAccount;
}
