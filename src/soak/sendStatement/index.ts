import type { Clock } from "../../clock/types/Clock.js";
import type { CallerAnswer } from "../../platform/standIns/types/CallerAnswer.js";
import type { SoakSession } from "../types/SoakSession.js";
import { waitForAnswer } from "../waitForAnswer/index.js";

/** A statement that was sent, and its answer. */
interface SentStatement {
    readonly id: string;
    /** Undefined if the caller stopped waiting. */
    readonly answer: CallerAnswer | undefined;
    /** Time until the answer, in milliseconds. */
    readonly milliseconds: number;
}

/**
 * Sends a statement as a caller, waits for the answer, and reports a connection that ended before it.
 *
 * @param session The caller's session.
 * @param text The statement.
 * @param clock Source of time.
 * @returns The id of the statement, and its answer.
 *
 * @example
 * const { id, answer } = await sendStatement(session, "READ item1", clock);
 */
export async function sendStatement(session: SoakSession, text: string, clock: Clock): Promise<SentStatement> {
    const { caller, vm, onUnanswered } = session;
    const sentAt = clock.now();
    const pendingAnswer = caller.run(text);
    const id = caller.lastId();
    const answer = await waitForAnswer(pendingAnswer, clock);
    const endedAt = clock.now();
    if (answer !== undefined && answer.state === undefined) {
        onUnanswered({ id, vm, sentAt, endedAt });
    }
    return { id, answer, milliseconds: endedAt - sentAt };
}
