import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { transactionConstants } from "../constants.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";

/**
 * Rolls a transaction back and releases its connection; closes the connection when the endpoint does not answer.
 *
 * @param transaction The transaction; ended by this call.
 * @returns The reply. The transaction is rolled back in either case, since no commit was sent.
 *
 * @example
 * const reply = await rollBackTransaction(transaction);
 */
export async function rollBackTransaction(transaction: OpenTransaction): Promise<EndpointReply> {
    const { begin, acquiredConnection, position } = transaction;
    try {
        await acquiredConnection.connection.rollback(transactionConstants.rollbackTimeoutMilliseconds);
        acquiredConnection.release();
    }
    catch (error) {
        acquiredConnection.discard(error);
    }
    return { outcome: OutcomeKind.Answer, result: undefined, term: begin.term, position, queueLength: 0 };
}
