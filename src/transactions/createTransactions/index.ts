import { AdmissionClass } from "../../admission/types/AdmissionClass.js";
import type { AdmissionSlot } from "../../admission/types/AdmissionSlot.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import type { NotRunReply } from "../../messages/types/NotRunReply.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { TransactionBegin } from "../../messages/types/TransactionBegin.js";
import type { TransactionBeginReply } from "../../messages/types/TransactionBeginReply.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";
import { checkEndpoint } from "../../requests/checkEndpoint/index.js";
import { createLeavingGracePeriod } from "../../requests/createLeavingGracePeriod/index.js";
import { toNotRun } from "../../requests/toNotRun/index.js";
import type { RequestServices } from "../../requests/types/RequestServices.js";
import { createWorkTracker } from "../../waiting/createWorkTracker/index.js";
import { commitTransaction } from "../commitTransaction/index.js";
import { transactionConstants } from "../constants.js";
import { createEndedTransactions } from "../createEndedTransactions/index.js";
import { openTransaction } from "../openTransaction/index.js";
import { rollBackTransaction } from "../rollBackTransaction/index.js";
import { runTransactionStatement } from "../runTransactionStatement/index.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";
import type { TransactionCommand } from "../types/TransactionCommand.js";
import type { Transactions } from "../types/Transactions.js";
import type { TransactionStepResult } from "../types/TransactionStepResult.js";

/** Options of `createTransactions`. */
interface TransactionsOptions extends RequestServices {
    readonly events: EventRecorder;
}

/**
 * Creates the service that runs interactive transactions, each in one task.
 *
 * A transaction holds one connection and one slot. It is rolled back at its deadline, when it is idle for too long, or
 * when its connection is lost. Only the caller that opened a transaction may use it.
 *
 * @param options The services of the gateway and the event recorder.
 * @returns The service.
 *
 * @example
 * const reply = await transactions.begin(begin);
 */
export function createTransactions(options: TransactionsOptions): Transactions {
    const { clock, admission, topology, events } = options;
    const open = new Map<string, OpenTransaction>();
    const ended = createEndedTransactions();
    const work = createWorkTracker();
    const isInGracePeriod = createLeavingGracePeriod(clock, topology);
    let isStopping = false;

    const endHandlers: Record<TransactionEndKind, typeof commitTransaction> = {
        [TransactionEndKind.Commit]: commitTransaction,
        [TransactionEndKind.Rollback]: (_services, transaction) => rollBackTransaction(transaction),
    };

    function begin(request: TransactionBegin, signal?: AbortSignal): Promise<TransactionBeginReply> {
        return work.track(
            `begin ${request.requestId} at ${request.endpoint}`,
            () => beginTransaction(request, signal),
        );
    }

    async function beginTransaction(begin: TransactionBegin, signal?: AbortSignal): Promise<TransactionBeginReply> {
        const startedAt = clock.now();
        const refusal = isStopping ? createStoppingReply() : checkEndpoint(options, begin, isInGracePeriod);
        if (refusal !== undefined) {
            return refusal;
        }
        let slot: AdmissionSlot | undefined;
        try {
            const ticket = { ...begin, admissionClass: AdmissionClass.Transaction, signal };
            slot = await admission.queueOf(begin.database, begin.endpoint).acquire(ticket);
            const timeLeftMilliseconds = Math.max(begin.timeLeftMilliseconds - (clock.now() - startedAt), 0);
            const transaction = await openTransaction(options, { ...begin, timeLeftMilliseconds }, slot);
            return startTransaction(transaction);
        }
        catch (error) {
            slot?.release();
            return toNotRun(toTypedError(error), begin.term);
        }
    }

    function startTransaction(transaction: OpenTransaction): TransactionBeginReply {
        const { transactionId, begin, acquiredConnection, mailbox } = transaction;
        open.set(transactionId, transaction);
        if (acquiredConnection.closedSignal.aborted) {
            mailbox.close();
        }
        acquiredConnection.closedSignal.addEventListener("abort", mailbox.close);
        void work.track(`transaction ${begin.requestId} at ${begin.endpoint}`, () => runTransaction(transaction));
        return { outcome: OutcomeKind.Answer, transactionId };
    }

    async function runTransaction(transaction: OpenTransaction): Promise<void> {
        const { transactionId, begin, deadlineAt, mailbox, acquiredConnection, slot } = transaction;
        let lastReply: EndpointReply | undefined;
        let hasEnded = false;
        while (!hasEnded) {
            const timeoutMilliseconds = Math.min(
                transactionConstants.idleTimeoutMilliseconds,
                deadlineAt - clock.now(),
            );
            const command = await mailbox.next(timeoutMilliseconds);
            if (command === undefined) {
                break;
            }
            const step = await executeCommand(transaction, command);
            hasEnded = step.hasEnded;
            lastReply = "statement" in command.call ? undefined : step.reply;
            command.reply(step.reply);
        }
        acquiredConnection.closedSignal.removeEventListener("abort", mailbox.close);
        open.delete(transactionId);
        ended.add(transactionId, begin.caller, lastReply);
        mailbox.close();
        if (lastReply === undefined) {
            recordRollback(transaction);
            await rollBackTransaction(transaction);
        }
        // Has no effect when the connection was already released or closed.
        acquiredConnection.release();
        slot.release();
        for (const command of mailbox.drain()) {
            command.reply(ended.replyTo(command.call));
        }
    }

    async function executeCommand(
        transaction: OpenTransaction,
        command: TransactionCommand,
    ): Promise<TransactionStepResult> {
        const { call } = command;
        const deadlineAt = Math.min(command.deadlineAt, transaction.deadlineAt);
        if ("statement" in call) {
            return await runTransactionStatement(options, transaction, call, deadlineAt);
        }
        return { reply: await endHandlers[call.kind](options, transaction, deadlineAt), hasEnded: true };
    }

    function sendCommand(call: TransactionEnd | TransactionStatement): Promise<EndpointReply> {
        const transaction = open.get(call.transactionId);
        if (transaction === undefined) {
            return Promise.resolve(ended.replyTo(call));
        }
        if (transaction.begin.caller !== call.caller) {
            return Promise.resolve(createForbiddenReply());
        }
        const deadlineAt = clock.now() + call.timeLeftMilliseconds;
        return new Promise(resolve => {
            if (!transaction.mailbox.push({ call, deadlineAt, reply: resolve })) {
                resolve(ended.replyTo(call));
            }
        });
    }

    function recordRollback({ begin }: OpenTransaction): void {
        events.record({
            kind: EventKind.TransactionRolledBack,
            database: begin.database,
            endpoint: begin.endpoint,
            requestId: begin.requestId,
            term: begin.term,
            text:
                `Rolled back the transaction of ${begin.caller}: it was idle too long, past its deadline, or lost its connection.`,
        });
    }

    function createStoppingReply(): NotRunReply {
        const message = "This gateway is stopping. Begin the transaction at another gateway.";
        return createNotRun(NotRunReason.Stopping, message);
    }

    function createForbiddenReply(): EndpointReply {
        const message = "The transaction belongs to another caller. Use a handle that was issued to this caller.";
        return createNotRun(NotRunReason.Forbidden, message);
    }

    async function start(): Promise<void> {
        isStopping = false;
    }

    async function stop(): Promise<void> {
        isStopping = true;
        admission.refuseWaiting();
        await work.whenIdle();
    }

    return { begin, execute: sendCommand, end: sendCommand, describeWork: work.describe, start, stop };
}
