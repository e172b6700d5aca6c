import { randomBytes } from "node:crypto";
import type { AdmissionSlot } from "../../admission/types/AdmissionSlot.js";
import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TransactionBegin } from "../../messages/types/TransactionBegin.js";
import type { RequestServices } from "../../requests/types/RequestServices.js";
import { createMailbox } from "../../waiting/createMailbox/index.js";
import { transactionConstants } from "../constants.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";

/**
 * Opens a transaction on a connection of its own.
 *
 * @param services Clock and connections.
 * @param begin The entry's request.
 * @param slot The slot that the transaction holds until it ends.
 * @returns The open transaction, with an identifier that cannot be guessed.
 * @throws TarragonpostError when the endpoint refuses or its connection fails; no statement has run then.
 *
 * @example
 * const transaction = await openTransaction(services, begin, slot);
 */
export async function openTransaction(
    services: Pick<RequestServices, "clock" | "connections">,
    begin: TransactionBegin,
    slot: AdmissionSlot,
): Promise<OpenTransaction> {
    const { clock, connections } = services;
    const durationMilliseconds = Math.min(begin.timeLeftMilliseconds, transactionConstants.maximumDurationMilliseconds);
    const deadlineAt = clock.now() + durationMilliseconds;
    const acquiredConnection = await connections.acquire(begin.database, begin.endpoint, durationMilliseconds);
    let answer: StatementAnswer;
    try {
        const timeLeft = Math.max(deadlineAt - clock.now(), 0);
        answer = await acquiredConnection.connection.begin({
            isWrite: true,
            term: begin.term,
            leastPosition: begin.leastPosition,
            waitMilliseconds: Math.min(begin.waitMilliseconds, timeLeft),
            timeoutMilliseconds: timeLeft,
        });
    }
    catch (error) {
        if (isTypedError(error, ErrorKind.EndpointRefused)) {
            acquiredConnection.release();
        }
        else {
            acquiredConnection.discard(error);
        }
        throw error;
    }
    return {
        transactionId: randomBytes(transactionConstants.identifierBytes).toString("base64url"),
        begin,
        position: answer.position,
        deadlineAt,
        slot,
        acquiredConnection,
        mailbox: createMailbox(clock),
    };
}
