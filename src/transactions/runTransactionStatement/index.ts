import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";
import { confirmAnswer } from "../../requests/confirmAnswer/index.js";
import { toNotRun } from "../../requests/toNotRun/index.js";
import type { RequestServices } from "../../requests/types/RequestServices.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";
import type { TransactionStepResult } from "../types/TransactionStepResult.js";

/**
 * Runs one statement within an open transaction.
 *
 * A refused statement or a lost answer ends the transaction: no commit was sent, so none of its writes persist. The
 * result of a read is held back until its position is confirmed, like any answer of a primary.
 *
 * @param services The services of the gateway.
 * @param transaction The transaction.
 * @param statement The statement.
 * @param deadlineAt Time of the monotonic clock by which the reply is due.
 * @returns The reply, and whether the transaction has ended.
 *
 * @example
 * const { reply, hasEnded } = await runTransactionStatement(services, transaction, statement, deadlineAt);
 */
export async function runTransactionStatement(
    services: RequestServices,
    transaction: OpenTransaction,
    statement: TransactionStatement,
    deadlineAt: number,
): Promise<TransactionStepResult> {
    const { clock } = services;
    const { begin, acquiredConnection } = transaction;
    const { database, term } = begin;
    try {
        const answer = await acquiredConnection.connection.execute({
            statement: statement.statement,
            isWrite: statement.kind === RequestKind.Write,
            term,
            leastPosition: 0,
            waitMilliseconds: 0,
            timeoutMilliseconds: Math.max(deadlineAt - clock.now(), 0),
        });
        const { result, position } = answer;
        const reply: EndpointReply = { outcome: OutcomeKind.Answer, result, term, position, queueLength: 0 };
        const isHeld = services.confirmsPrimaryReads && statement.kind === RequestKind.Read;
        const awaited = { database, term, position, deadlineAt };
        return { reply: isHeld ? await confirmAnswer(services, awaited, reply) : reply, hasEnded: false };
    }
    catch (error) {
        const typed = toTypedError(error);
        if (typed.kind === ErrorKind.EndpointRefused) {
            // An endpoint may abort the transaction after any failed statement.
            return { reply: toNotRun(typed, term), hasEnded: true };
        }
        acquiredConnection.discard(error);
        const message = `The transaction was rolled back: ${typed.message} Run it again from its beginning.`;
        return { reply: createNotRun(NotRunReason.TransactionOver, message), hasEnded: true };
    }
}
