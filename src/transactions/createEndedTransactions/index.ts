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
 * Creates the bounded memory of ended transactions.
 *
 * An entry whose answer to a commit was lost may ask again: it is given the first reply. A commit of a transaction that
 * is not remembered is answered as unknown, for it may have run.
 *
 * @returns The memory, empty.
 *
 * @example
 * ended.add(transactionId, caller, reply);
 * return ended.replyTo(call);
 */
export function createEndedTransactions(): EndedTransactions {
    const transactions = new Map<string, EndedTransaction>();

    function add(transactionId: string, caller: string, reply: EndpointReply | undefined): void {
        transactions.set(transactionId, { caller, reply });
        if (transactions.size > transactionConstants.rememberedTransactions) {
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
            return createUnknownOutcome("The transaction is not known here any more.");
        }
        return createNotRun(
            NotRunReason.TransactionOver,
            "The transaction is over or was never open here. Run it again from its beginning.",
        );
    }

    return { add, replyTo };
}
