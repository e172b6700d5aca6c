import type { EndpointStatus } from "./EndpointStatus.js";
import type { FenceAnswer } from "./FenceAnswer.js";
import type { StatementAnswer } from "./StatementAnswer.js";
import type { StatementCall } from "./StatementCall.js";

/**
 * One open connection to an endpoint. Answers are matched to calls by id.
 *
 * Every call may fail with `EndpointRefused` (it did not run; `details.refusal` and `details.term` say why),
 * `DeadlineExceeded` or `ConnectionClosed` (the outcome of a write is then unknown).
 */
export interface EndpointConnection {
    /** Runs one statement as a transaction of its own, or within the open transaction. */
    execute(call: StatementCall): Promise<StatementAnswer>;
    begin(call: Omit<StatementCall, "statement" | "requestKey">): Promise<StatementAnswer>;
    /** Commits the open transaction; the request key is recorded with it. */
    commit(requestKey: string | undefined, timeoutMilliseconds: number): Promise<StatementAnswer>;
    rollback(timeoutMilliseconds: number): Promise<void>;
    /** Clears all state left by the last use. */
    reset(timeoutMilliseconds: number): Promise<void>;
    ping(timeoutMilliseconds: number): Promise<void>;
    readStatus(timeoutMilliseconds: number): Promise<EndpointStatus>;
    /** Yields the status at once and after each change, coalesced. */
    watchStatus(signal: AbortSignal): AsyncGenerator<EndpointStatus>;
    /** Makes the endpoint refuse every lower term from now on. Refused with `WrongTerm` if it was shown a higher one. */
    fence(term: number, timeoutMilliseconds: number): Promise<FenceAnswer>;
    /** Makes a fenced endpoint the primary of the term. */
    promote(term: number, timeoutMilliseconds: number): Promise<EndpointStatus>;
    /** Makes the endpoint follow the primary of the term, cutting what the primary does not hold. */
    follow(term: number, primary: string, timeoutMilliseconds: number): Promise<void>;
    /** Writes an entry without effect, to be the first entry of a new primary's term. */
    writeMarker(term: number, timeoutMilliseconds: number): Promise<StatementAnswer>;
    /**
     * Inserts a cancelling row under the request key at the primary of the term.
     * Answers `undefined` when the row won (the original never runs), else the recorded outcome.
     */
    cancelRequestKey(
        requestKey: string,
        term: number,
        timeoutMilliseconds: number,
    ): Promise<{ readonly cancelledAt: number; } | StatementAnswer>;
    close(): void;
    /** Resolves when the connection is over, for whichever reason. */
    readonly closed: Promise<void>;
}
