import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { mayTakeEffect } from "../../statements/mayTakeEffect/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { waitForArrivedInput } from "../../waiting/waitForArrivedInput/index.js";
import { callerSessionConstants } from "../constants.js";
import { CallerCommandKind } from "../types/CallerCommandKind.js";
import type { CallerConnection } from "../types/CallerConnection.js";
import type { GracefulStop } from "../types/GracefulStop.js";
import type { OpenSession } from "../types/OpenSession.js";
import type { RunCommand } from "../types/RunCommand.js";
import { StopOutcome } from "../types/StopOutcome.js";
import { StopPhase } from "../types/StopPhase.js";

/** Options of `createSessionsStop`. */
interface SessionsStopOptions {
    readonly clock: Clock;
    readonly stop: Pick<GracefulStop, "phase" | "begin" | "finish">;
    /** The open sessions; each is removed when its connection is closed. */
    readonly sessions: ReadonlySet<OpenSession>;
    /** Time from the start of the stop until the process is killed. */
    readonly graceMilliseconds: number;
    readonly log: LogTopic;
}

/** What a stop does to callers' sessions. */
interface SessionsStop {
    /** Returns the failure of a statement that the stop no longer lets run; the session's transaction is rolled back. */
    refuse(open: OpenSession, command: RunCommand): StatementFailure | undefined;
    /** Counts a statement that ended while a stop is under way. */
    record(outcome: StopOutcome): void;
    /** Whether a session has nothing more to do, after it has answered a statement. */
    isFinished(open: OpenSession): boolean;
    /**
     * Closes the sessions as they become idle. Resolves when all that were opened are closed and `otherWork` is done, or
     * the grace time has passed; no session is opened afterwards.
     */
    closeAll(otherWork: Promise<void>): Promise<void>;
}

/** How a statement has ended that got one of the answers below. */
const outcomesByCode: Partial<Record<FailureCode, StopOutcome>> = {
    [FailureCode.Busy]: StopOutcome.Refused,
    [FailureCode.Aborted]: StopOutcome.Aborted,
    [FailureCode.OutcomeUnknown]: StopOutcome.Unknown,
};
const stopReason = "this VM is stopping";
const notRun: StatementFailure = { code: FailureCode.Busy, description: stopReason };
const aborted: StatementFailure = { code: FailureCode.Aborted, description: stopReason };
const unknown: StatementFailure = {
    code: FailureCode.OutcomeUnknown,
    description: "this VM stopped before the endpoint had answered",
};

/**
 * Creates the stop of callers' sessions: refuses what comes too late, closes what is idle, and answers all that was
 * received before the process ends.
 *
 * @param options Clock, phases of the stop, the sessions, and the grace time in milliseconds.
 * @returns The stop, not begun.
 *
 * @example
 * const sessionsStop = createSessionsStop({ clock, stop, sessions, graceMilliseconds: 6_000, log });
 * await sessionsStop.closeAll();
 */
export function createSessionsStop(options: SessionsStopOptions): SessionsStop {
    const { clock, stop, sessions, log } = options;
    const counts: Record<StopOutcome, number> = {
        [StopOutcome.Answered]: 0,
        [StopOutcome.Refused]: 0,
        [StopOutcome.Aborted]: 0,
        [StopOutcome.Unknown]: 0,
        [StopOutcome.Cut]: 0,
    };

    function record(outcome: StopOutcome): void {
        if (stop.phase() > StopPhase.Serving) {
            counts[outcome] += 1;
        }
    }

    function refuse(open: OpenSession, command: RunCommand): StatementFailure | undefined {
        const refusal = findRefusal(open, command);
        if (refusal !== undefined) {
            log("statement refused: this VM is stopping", { id: command.id, code: refusal.code });
            record(outcomesByCode[refusal.code]!);
            abort(open);
        }
        return refusal;
    }

    function findRefusal(open: OpenSession, { statement }: RunCommand): StatementFailure | undefined {
        const phase = stop.phase();
        if (open.isAborted) {
            return aborted;
        }
        if (!isInTransaction(open)) {
            return phase >= StopPhase.Refusing ? notRun : undefined;
        }
        return phase >= StopPhase.Aborting && statement.kind !== StatementKind.Rollback ? aborted : undefined;
    }

    /** Rolls back an open transaction for good; statements that the caller has sent on its behalf are not run. */
    function abort(open: OpenSession): void {
        if (isInTransaction(open)) {
            open.isAborted = true;
            open.callerSession?.end(stopReason);
        }
    }

    function isFinished(open: OpenSession): boolean {
        return stop.phase() >= StopPhase.Draining && isIdle(open) && !isInTransaction(open);
    }

    async function closeAll(otherWork: Promise<void>): Promise<void> {
        let isWorking = true;
        void otherWork.then(() => {
            isWorking = false;
        });
        const { closeGraceShare, stopPollingMilliseconds, maximumTurnMilliseconds, maximumInputWaitMilliseconds } =
            callerSessionConstants;
        const closesAt = clock.now() + closeGraceShare * options.graceMilliseconds;
        log("closing all sessions", { open: sessions.size });
        stop.begin();
        const isUnfinished = (): boolean =>
            isWorking || stop.phase() < StopPhase.Draining || [...sessions].some(isAwaited);
        while (clock.now() < closesAt && isUnfinished()) {
            await clock.sleep(stopPollingMilliseconds);
            // A session whose next statement has arrived is not idle, although it was not read yet.
            const endsAt = clock.now() + maximumInputWaitMilliseconds;
            await waitForArrivedInput({ clock, maximumTurnMilliseconds, endsAt });
            closeFinished();
        }
        log("end of the stop", { open: sessions.size, ...counts });
        stop.finish();
        sessions.forEach(({ connection }) => connection.close());
    }

    /** Whether the stop has to wait for a session; in a late phase a session is refused unless it was opened before. */
    function isAwaited({ callerSession, unfinished, isRefused }: OpenSession): boolean {
        return stop.phase() < StopPhase.Refusing || callerSession !== undefined || unfinished > 0 && !isRefused;
    }

    /** Closes the sessions that have nothing more to do in the present phase of the stop. */
    function closeFinished(): void {
        const phase = stop.phase();
        for (const open of sessions) {
            if (phase >= StopPhase.Ending) {
                cutOff(open);
            }
            else if (phase >= StopPhase.Aborting && isIdle(open) && isInTransaction(open)) {
                open.callerSession?.abandonTransaction(stopReason);
            }
            else if (isFinished(open) && hasHadTime(open)) {
                open.connection.close();
            }
        }
    }

    /** Answers all that a session has received, and closes it. */
    function cutOff(open: OpenSession): void {
        if (open.isCutOff) {
            return;
        }
        open.isCutOff = true;
        const { connection, running } = open;
        if (open.callerSession === undefined || isIdle(open) && isInTransaction(open)) {
            // Not a complete answer: the caller is not waiting for a statement.
            connection.refuse(open.callerSession === undefined ? notRun : aborted);
        }
        const wasInTransaction = isInTransaction(open);
        if (running !== undefined) {
            const state = wasInTransaction ? SessionState.InTransaction : SessionState.Idle;
            const failure = mayTakeEffect(running.statement, state) ? unknown : aborted;
            log("statement was still running at the end of the stop", { id: running.id, code: failure.code });
            answer(connection, failure);
        }
        for (const { command } of open.drain()) {
            if (command.kind === CallerCommandKind.Run) {
                log("statement was still queued at the end of the stop", { id: command.id });
                answer(connection, wasInTransaction ? aborted : notRun);
            }
        }
        connection.close();
    }

    function answer(connection: CallerConnection, failure: StatementFailure): void {
        connection.sendFailure(failure, SessionState.Idle);
        record(outcomesByCode[failure.code]!);
    }

    /** Whether a session has answered a statement, or had enough time to send one. */
    function hasHadTime({ hasAnswered, connectedAt }: OpenSession): boolean {
        return hasAnswered || clock.now() - connectedAt >= callerSessionConstants.stopOpenTimeoutMilliseconds;
    }

    return { refuse, record, isFinished, closeAll };
}

function isIdle({ unfinished }: OpenSession): boolean {
    return unfinished === 0;
}

function isInTransaction({ callerSession, isAborted }: OpenSession): boolean {
    return !isAborted && callerSession?.isInTransaction() === true;
}
