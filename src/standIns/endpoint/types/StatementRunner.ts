import type { StatementAnswer } from "../../../endpoints/types/StatementAnswer.js";
import type { StatementCall } from "../../../endpoints/types/StatementCall.js";
import type { OpenTransaction } from "./OpenTransaction.js";

/** Runs statements and transactions against an endpoint's log. */
export interface StatementRunner {
    /** Runs a statement in its own transaction. */
    execute(call: StatementCall): Promise<StatementAnswer>;
    begin(call: Omit<StatementCall, "statement" | "requestKey">): Promise<OpenTransaction>;
    executeInTransaction(transaction: OpenTransaction, call: StatementCall): Promise<StatementAnswer>;
    commit(transaction: OpenTransaction, requestKey: string | undefined): Promise<StatementAnswer>;
    writeMarker(term: number): StatementAnswer;
    cancelRequestKey(requestKey: string, term: number): { readonly cancelledAt: number; } | StatementAnswer;
}
