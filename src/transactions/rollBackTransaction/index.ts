import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { transactionConstants } from "../constants.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";

/**
 * Rolls a transaction back and gives its connection back; closes the connection when the endpoint does not answer.
 *
 * @param transaction The transaction; over after this call.
 * @returns The reply; the transaction is rolled back either way, as no commit was sent.
 *
 * @example
 * const reply = await rollBackTransaction(transaction);
 */
export async function rollBackTransaction(transaction: OpenTransaction): Promise<EndpointReply> {
    const { begin, lease, position } = transaction;
    try {
        await lease.connection.rollback(transactionConstants.rollbackTimeoutMilliseconds);
        lease.release();
    }
    catch (error) {
        lease.discard(error);
    }
    return { outcome: OutcomeKind.Answer, result: undefined, term: begin.term, position, queueLength: 0 };
}
