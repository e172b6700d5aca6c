import type { Clock } from "../../../clock/types/Clock.js";
import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import type { StatementAnswer } from "../../../endpoints/types/StatementAnswer.js";
import type { StatementCall } from "../../../endpoints/types/StatementCall.js";
import type { RandomSource } from "../../../random/types/RandomSource.js";
import { createDataOverlay } from "../createDataOverlay/index.js";
import { createRefusal } from "../createRefusal/index.js";
import { createSlots } from "../createSlots/index.js";
import { evaluateStatement } from "../evaluateStatement/index.js";
import { isWriteStatement } from "../isWriteStatement/index.js";
import { parseStatement } from "../parseStatement/index.js";
import type { EndpointCounters } from "../types/EndpointCounters.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import { LogEntryKind } from "../types/LogEntryKind.js";
import type { LogOperation } from "../types/LogOperation.js";
import type { ObservableSwitches } from "../types/ObservableSwitches.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";
import type { Statement } from "../types/Statement.js";
import type { StatementRunner } from "../types/StatementRunner.js";
import type { TermState } from "../types/TermState.js";
import { waitForPosition } from "../waitForPosition/index.js";

/** Dependencies and limits of the runner. */
interface StatementRunnerOptions {
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly switches: ObservableSwitches;
    readonly counters: EndpointCounters;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly slots: number;
    readonly serviceJitterShare: number;
}

/**
 * Creates the runner of an endpoint's statements.
 *
 * A statement occupies a slot for its service time and takes effect atomically at the end of it. A transaction
 * collects its changes in an overlay and is validated when it commits: the registers and lists that it read must not
 * have changed since it began.
 *
 * @param options Log, terms, switches, counters, clock, randomness and limits.
 * @returns The runner.
 *
 * @example
 * const answer = await runner.execute({ statement, isWrite: true, term: 1, leastPosition: 0, waitMilliseconds: 0 });
 */
export function createStatementRunner(options: StatementRunnerOptions): StatementRunner {
    const { log, terms, switches, counters, clock, random } = options;
    const slots = createSlots(options.slots, counters);

    function createAnswer(result: unknown, position = log.position(), isRepeated = false): StatementAnswer {
        return { result, term: terms.term(), position, isRepeated };
    }

    /** Finds the recorded outcome of a request key; throws when the key was cancelled. */
    function findRecordedOutcome(requestKey: string | undefined): StatementAnswer | undefined {
        const entry = requestKey === undefined ? undefined : log.findRequestKey(requestKey);
        if (entry?.kind === LogEntryKind.Cancellation) {
            throw createRefusal(EndpointRefusal.Cancelled, `Request key ${requestKey} was cancelled.`, {
                position: entry.position,
            });
        }
        return entry === undefined ? undefined : createAnswer(entry.result, entry.position, true);
    }

    function appendWrite(
        operations: readonly LogOperation[],
        result: unknown,
        requestKey: string | undefined,
    ): StatementAnswer {
        const term = terms.term();
        const entry = log.append({ term, kind: LogEntryKind.Write, operations, result, requestKey });
        return createAnswer(result, entry.position);
    }

    function parseCallStatement(call: StatementCall): Statement {
        const statement = parseStatement(call.statement);
        if (!call.isWrite && isWriteStatement(statement)) {
            throw createRefusal(EndpointRefusal.StatementInvalid, "The statement writes but was sent as a read.");
        }
        return statement;
    }

    async function occupySlot(statement: Statement): Promise<() => void> {
        const release = await slots.acquire();
        const deviation = (random.next() * 2 - 1) * options.serviceJitterShare;
        const serviceMilliseconds = switches.state.serviceMilliseconds * (1 + deviation);
        await clock.sleep(serviceMilliseconds + (statement.workMilliseconds ?? 0));
        await switches.waitWhileFrozen();
        return release;
    }

    async function execute(call: StatementCall): Promise<StatementAnswer> {
        const statement = parseCallStatement(call);
        terms.requireServing(call.term, call.isWrite);
        await waitForPosition(call, { log, terms, clock });
        const release = await occupySlot(statement);
        try {
            terms.requireServing(call.term, call.isWrite);
            counters.statements += 1;
            const recorded = call.isWrite ? findRecordedOutcome(call.requestKey) : undefined;
            if (recorded !== undefined) {
                return recorded;
            }
            const overlay = createDataOverlay(log, () => {});
            const result = evaluateStatement(statement, overlay);
            return call.isWrite ? appendWrite(overlay.operations, result, call.requestKey) : createAnswer(result);
        }
        finally {
            release();
        }
    }

    async function begin(call: Omit<StatementCall, "statement" | "requestKey">): Promise<OpenTransaction> {
        terms.requireServing(call.term, call.isWrite);
        await waitForPosition(call, { log, terms, clock });
        const snapshotPosition = log.position();
        const readNames = new Set<string>();
        const overlay = createDataOverlay(log, name => {
            readNames.add(name);
            requireUnchanged([name], snapshotPosition);
        });
        return { term: call.term, isWrite: call.isWrite, snapshotPosition, readNames, overlay };
    }

    function requireUnchanged(names: Iterable<string>, snapshotPosition: number): void {
        for (const name of names) {
            if (log.lastChangePosition(name) > snapshotPosition) {
                throw createRefusal(
                    EndpointRefusal.NoTransaction,
                    `The transaction was rolled back because another transaction changed ${name}.`,
                );
            }
        }
    }

    async function executeInTransaction(transaction: OpenTransaction, call: StatementCall): Promise<StatementAnswer> {
        const statement = parseCallStatement(call);
        if (!transaction.isWrite && isWriteStatement(statement)) {
            throw createRefusal(EndpointRefusal.StatementInvalid, "The transaction is read-only.");
        }
        const release = await occupySlot(statement);
        try {
            terms.requireServing(transaction.term, transaction.isWrite);
            counters.statements += 1;
            return createAnswer(evaluateStatement(statement, transaction.overlay));
        }
        finally {
            release();
        }
    }

    async function commit(transaction: OpenTransaction, requestKey: string | undefined): Promise<StatementAnswer> {
        terms.requireServing(transaction.term, transaction.isWrite);
        if (!transaction.isWrite) {
            return createAnswer(undefined);
        }
        const recorded = findRecordedOutcome(requestKey);
        if (recorded !== undefined) {
            return recorded;
        }
        requireUnchanged(transaction.readNames, transaction.snapshotPosition);
        return appendWrite(transaction.overlay.operations, undefined, requestKey);
    }

    function writeMarker(term: number): StatementAnswer {
        terms.requireServing(term, true);
        return createAnswer(undefined, log.append({ term, kind: LogEntryKind.Marker, operations: [] }).position);
    }

    function cancelRequestKey(requestKey: string, term: number): { readonly cancelledAt: number; } | StatementAnswer {
        terms.requireServing(term, true);
        const recorded = log.findRequestKey(requestKey);
        if (recorded?.kind === LogEntryKind.Cancellation) {
            return { cancelledAt: recorded.position };
        }
        if (recorded !== undefined) {
            return createAnswer(recorded.result, recorded.position, true);
        }
        const entry = log.append({ term, kind: LogEntryKind.Cancellation, operations: [], requestKey });
        return { cancelledAt: entry.position };
    }

    return { execute, begin, executeInTransaction, commit, writeMarker, cancelRequestKey };
}
