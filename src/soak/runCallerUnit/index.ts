import type { Clock } from "../../clock/types/Clock.js";
import type { CallerAnswer } from "../../platform/standIns/types/CallerAnswer.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { soakConstants } from "../constants.js";
import { sendStatement } from "../sendStatement/index.js";
import type { CallerRead } from "../types/CallerRead.js";
import type { CallerUnit } from "../types/CallerUnit.js";
import type { SoakSession } from "../types/SoakSession.js";
import { UnitKind } from "../types/UnitKind.js";
import { UnitOutcome } from "../types/UnitOutcome.js";

/** Failures which guarantee that no write of the unit took effect. */
const refusals: Partial<Record<FailureCode, true>> = {
    [FailureCode.Busy]: true,
    [FailureCode.Aborted]: true,
    [FailureCode.Lagging]: true,
    [FailureCode.ReadOnly]: true,
    [FailureCode.Misrouted]: true,
    [FailureCode.ConnectionLimit]: true,
    [FailureCode.Malformed]: true,
    [FailureCode.UnknownDatabase]: true,
    [FailureCode.UnknownPreparedStatement]: true,
};

/** One transaction in this many is abandoned, and one is rolled back. */
const transactionsPerAbandonment = 12;
const transactionsPerRollback = 8;
const statementsInTransaction = 3;
/** One statement in this many is prepared. */
const statementsPerPrepared = 4;
/** Written data holds a character below this one, because only CR LF may end a statement. */
const firstPrintableCharacter = 0x20;
const noAnswer: CallerAnswer = { rows: [] };

/** A statement of a unit and its answer. */
interface SentStatement {
    readonly id: string;
    readonly answer: CallerAnswer;
}

/**
 * Runs a single statement or a transaction as a caller, and records it.
 *
 * Units of single statements may run on a session at the same time.
 *
 * @param session The caller's session.
 * @param kind What to run.
 * @param clock Source of time.
 * @param random Source of randomness for the statements.
 * @returns The recorded unit, and whether the session is still usable.
 *
 * @example
 * const { unit, isUsable } = await runCallerUnit(session, UnitKind.Single, clock, random);
 */
export async function runCallerUnit(
    session: SoakSession,
    kind: UnitKind,
    clock: Clock,
    random: RandomSource,
): Promise<{ readonly unit: CallerUnit; readonly isUsable: boolean; }> {
    const startedAt = clock.now();
    const ids: string[] = [];
    const writeIds: string[] = [];
    const reads: CallerRead[] = [];
    const signatures: Record<string, string> = {};
    let slowestMilliseconds = 0;
    let isUsable = true;
    const runners: Readonly<Record<UnitKind, () => Promise<UnitOutcome>>> = {
        [UnitKind.Single]: runSingle,
        [UnitKind.Transaction]: runTransaction,
    };
    const outcome = await runners[kind]();
    const { name, workspace, vm, guarantee } = session;
    const unit: CallerUnit = {
        session: name,
        ...workspace !== undefined && { workspace },
        vm,
        guarantee,
        startedAt,
        endedAt: clock.now(),
        outcome,
        ids,
        writeIds,
        reads,
        signatures,
        slowestMilliseconds,
    };
    return { unit, isUsable };

    async function send(text: string): Promise<SentStatement> {
        const { id, answer, milliseconds } = await sendStatement(session, text, clock);
        ids.push(id);
        slowestMilliseconds = answer === undefined
            ? Number.POSITIVE_INFINITY
            : Math.max(slowestMilliseconds, Math.round(milliseconds));
        isUsable &&= answer?.state !== undefined;
        if (answer?.signature !== undefined && answer.signature !== "-") {
            signatures[id] = answer.signature;
        }
        return { id, answer: answer ?? noAnswer };
    }

    async function runSingle(): Promise<UnitOutcome> {
        return classifyAnswer(await runStatement());
    }

    async function runStatement(): Promise<CallerAnswer> {
        const item = `item${random.nextInteger(soakConstants.itemCount)}`;
        const isWrite = random.nextInteger(2) === 0;
        const isPrepared = random.nextInteger(statementsPerPrepared) === 0;
        const control = String.fromCharCode(random.nextInteger(firstPrintableCharacter));
        const data = isWrite ? ` ${session.name}.${Math.round(clock.now() * 1_000)}${control}end` : "";
        const { read, write } = session.prepared;
        const command = isWrite ? "WRITE" : "READ";
        const { id, answer } = await send(
            `${isPrepared ? `EXECUTE ${isWrite ? write : read}` : command} ${item}${data}`,
        );
        if (isWrite) {
            writeIds.push(id);
        }
        else if (answer.failure === undefined && answer.rows[0] !== undefined) {
            reads.push({ id, item, data: answer.rows[0] });
        }
        return answer;
    }

    async function runTransaction(): Promise<UnitOutcome> {
        const { answer: begin } = await send("BEGIN");
        if (begin.failure !== undefined || begin.state === undefined) {
            return UnitOutcome.NotKept;
        }
        for (let index = 0; index < statementsInTransaction; index += 1) {
            await clock.sleep(random.next() * session.maximumTransactionPauseMilliseconds);
            const answer = await runStatement();
            if (answer.failure !== undefined || answer.state === undefined) {
                return await rollBack();
            }
        }
        if (random.nextInteger(transactionsPerAbandonment) === 0) {
            isUsable = false;
            return UnitOutcome.NotKept;
        }
        return random.nextInteger(transactionsPerRollback) === 0
            ? await rollBack()
            : classifyAnswer((await send("COMMIT")).answer);
    }

    async function rollBack(): Promise<UnitOutcome> {
        if (isUsable) {
            await send("ROLLBACK");
        }
        return UnitOutcome.NotKept;
    }
}

function classifyAnswer({ failure, state }: CallerAnswer): UnitOutcome {
    if (failure === undefined) {
        return state === undefined ? UnitOutcome.Unknown : UnitOutcome.Acknowledged;
    }
    return failure.code in refusals ? UnitOutcome.NotKept : UnitOutcome.Unknown;
}
