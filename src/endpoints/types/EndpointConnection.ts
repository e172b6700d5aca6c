import type { EndpointStatus } from "./EndpointStatus.js";
import type { FenceAnswer } from "./FenceAnswer.js";
import type { StatementAnswer } from "./StatementAnswer.js";
import type { StatementCall } from "./StatementCall.js";

/**
 * One open connection to an endpoint. Answers are matched to calls by id.
 *
 * Every call may fail with `EndpointRefused` (it did not run; the reason is in `details.refusal` and `details.term`),
 * `DeadlineExceeded` or `ConnectionClosed` (the outcome of a write is then unknown).
 */
export interface EndpointConnection {
    /** Runs one statement in its own transaction, or in the open transaction of the connection. */
    execute(call: StatementCall): Promise<StatementAnswer>;
    begin(call: Omit<StatementCall, "statement" | "requestKey">): Promise<StatementAnswer>;
    /** Commits the open transaction; the request key is recorded with it. */
    commit(requestKey: string | undefined, timeoutMilliseconds: number): Promise<StatementAnswer>;
    rollback(timeoutMilliseconds: number): Promise<void>;
    /** Clears the state left by the previous use, such as an open transaction. */
    reset(timeoutMilliseconds: number): Promise<void>;
    ping(timeoutMilliseconds: number): Promise<void>;
    readStatus(timeoutMilliseconds: number): Promise<EndpointStatus>;
    /** Yields the current status and then each change; changes that were not read yet are coalesced. */
    watchStatus(signal: AbortSignal): AsyncGenerator<EndpointStatus>;
    /** Makes the endpoint refuse all lower terms. Refused with `WrongTerm` if the endpoint knows a higher term. */
    fence(term: number, timeoutMilliseconds: number): Promise<FenceAnswer>;
    /** Makes a fenced endpoint the primary of the term. */
    promote(term: number, timeoutMilliseconds: number): Promise<EndpointStatus>;
    /** Makes the endpoint follow the primary of the term; log entries that the primary does not hold are truncated. */
    follow(term: number, primary: string, timeoutMilliseconds: number): Promise<void>;
    /** Writes the marker, an entry without effect that is the first of a new primary's term. */
    writeMarker(term: number, timeoutMilliseconds: number): Promise<StatementAnswer>;
    /**
     * Records a cancellation under the request key at the primary of the term, unless the key has an outcome.
     *
     * Returns the log position of the cancellation (the original statement never runs then), or the recorded outcome.
     */
    cancelRequestKey(
        requestKey: string,
        term: number,
        timeoutMilliseconds: number,
    ): Promise<{ readonly cancelledAt: number; } | StatementAnswer>;
    close(): void;
    /** Resolves when the connection is closed by either side or lost. */
    readonly closed: Promise<void>;
}
