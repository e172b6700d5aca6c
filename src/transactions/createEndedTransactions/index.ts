import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";
import { createUnknownOutcome } from "../../requests/createUnknownOutcome/index.js";
import { transactionConstants } from "../constants.js";
import type { EndedTransactions } from "../types/EndedTransactions.js";

/** How a transaction ended. */
interface EndedTransaction {
    readonly caller: string;
    readonly reply: EndpointReply | undefined;
}

/**
 * Creates the bounded record of ended transactions.
 *
 * An entry that lost the answer to a commit may repeat the call and gets the first reply. A commit of a transaction
 * that is not on record has an unknown outcome, since it may have run.
 *
 * @returns The record, initially empty.
 *
 * @example
 * ended.add(transactionId, caller, reply);
 * return ended.replyTo(call);
 */
export function createEndedTransactions(): EndedTransactions {
    const transactions = new Map<string, EndedTransaction>();

    function add(transactionId: string, caller: string, reply: EndpointReply | undefined): void {
        transactions.set(transactionId, { caller, reply });
        if (transactions.size > transactionConstants.maximumTrackedTransactions) {
            transactions.delete(transactions.keys().next().value!);
        }
    }

    function replyTo(call: TransactionEnd | TransactionStatement): EndpointReply {
        const ended = transactions.get(call.transactionId);
        const isKnown = ended !== undefined && ended.caller === call.caller;
        const isStatement = "statement" in call;
        if (isKnown && !isStatement && ended.reply !== undefined) {
            return ended.reply;
        }
        if (!isKnown && call.kind === TransactionEndKind.Commit) {
            return createUnknownOutcome("The transaction is no longer known to this gateway.");
        }
        return createNotRun(
            NotRunReason.TransactionOver,
            "The transaction has ended or was never open at this gateway. Run it again from its beginning.",
        );
    }

    return { add, replyTo };
}
