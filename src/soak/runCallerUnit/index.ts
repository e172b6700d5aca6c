import type { Clock } from "../../clock/types/Clock.js";
import type { CallerAnswer } from "../../platform/standIns/types/CallerAnswer.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { soakConstants } from "../constants.js";
import type { CallerRead } from "../types/CallerRead.js";
import type { CallerUnit } from "../types/CallerUnit.js";
import type { SoakSession } from "../types/SoakSession.js";
import { UnitOutcome } from "../types/UnitOutcome.js";
import { waitPatiently } from "../waitPatiently/index.js";

/** Answers that promise that nothing of a unit is kept. */
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

/** One in so many units is a transaction; one in so many of those is left, and one rolled back. */
const transactionShare = 4;
const leaveShare = 12;
const rollbackShare = 8;
const statementsInTransaction = 3;
/** One in so many statements is prepared. */
const preparedShare = 4;
const noAnswer: CallerAnswer = { rows: [] };

/**
 * Runs one single statement or transaction as a caller, and records it.
 *
 * @param session The caller's session.
 * @param clock Source of time.
 * @param random Draws what is run.
 * @returns What the caller saw, and whether the session is of use still.
 *
 * @example
 * const { unit, isUsable } = await runCallerUnit(session, clock, random);
 */
export async function runCallerUnit(
    session: SoakSession,
    clock: Clock,
    random: RandomSource,
): Promise<{ readonly unit: CallerUnit; readonly isUsable: boolean; }> {
    const { caller } = session;
    const startedAt = clock.now();
    const ids: string[] = [];
    const writeIds: string[] = [];
    const reads: CallerRead[] = [];
    const signatures: Record<string, string> = {};
    let slowestMilliseconds = 0;
    let isUsable = true;
    const outcome = random.nextInteger(transactionShare) === 0 ? await runTransaction() : await runSingle();
    const { name, vm, guarantee } = session;
    const unit: CallerUnit = {
        session: name,
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

    async function ask(text: string): Promise<CallerAnswer> {
        const sentAt = clock.now();
        const given = await waitPatiently(caller.run(text), clock);
        const id = caller.lastId();
        ids.push(id);
        slowestMilliseconds = given === undefined
            ? Number.POSITIVE_INFINITY
            : Math.max(slowestMilliseconds, Math.round(clock.now() - sentAt));
        isUsable &&= given?.state !== undefined;
        if (given?.signature !== undefined && given.signature !== "-") {
            signatures[id] = given.signature;
        }
        return given ?? noAnswer;
    }

    async function runSingle(): Promise<UnitOutcome> {
        return judge(await runStatement());
    }

    async function runStatement(): Promise<CallerAnswer> {
        const item = `item${random.nextInteger(soakConstants.itemCount)}`;
        const isWrite = random.nextInteger(2) === 0;
        const isPrepared = random.nextInteger(preparedShare) === 0;
        const data = isWrite ? ` ${session.name}.${Math.round(clock.now() * 1_000)}` : "";
        const { read, write } = session.prepared;
        const plain = isWrite ? "WRITE" : "READ";
        const answer = await ask(`${isPrepared ? `EXECUTE ${isWrite ? write : read}` : plain} ${item}${data}`);
        const id = caller.lastId();
        if (isWrite) {
            writeIds.push(id);
        }
        else if (answer.failure === undefined && answer.rows[0] !== undefined) {
            reads.push({ id, item, data: answer.rows[0] });
        }
        return answer;
    }

    async function runTransaction(): Promise<UnitOutcome> {
        const begin = await ask("BEGIN");
        if (begin.failure !== undefined || begin.state === undefined) {
            return UnitOutcome.NotKept;
        }
        for (let turn = 0; turn < statementsInTransaction; turn += 1) {
            const answer = await runStatement();
            if (answer.failure !== undefined || answer.state === undefined) {
                return await rollBack();
            }
        }
        if (random.nextInteger(leaveShare) === 0) {
            isUsable = false;
            return UnitOutcome.NotKept;
        }
        return random.nextInteger(rollbackShare) === 0 ? await rollBack() : judge(await ask("COMMIT"));
    }

    async function rollBack(): Promise<UnitOutcome> {
        if (isUsable) {
            await ask("ROLLBACK");
        }
        return UnitOutcome.NotKept;
    }
}

function judge({ failure, state }: CallerAnswer): UnitOutcome {
    if (failure === undefined) {
        return state === undefined ? UnitOutcome.Unknown : UnitOutcome.Acknowledged;
    }
    return failure.code in refusals ? UnitOutcome.NotKept : UnitOutcome.Unknown;
}
