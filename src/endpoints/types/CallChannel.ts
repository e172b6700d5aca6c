import type { EndpointCallKind } from "./EndpointCallKind.js";

/** A connection to an endpoint on which answers are matched to calls by id. */
export interface CallChannel {
    /** Makes one call; a connection with an answer outstanding past its deadline is closed. */
    call(kind: EndpointCallKind, content: unknown, timeoutMilliseconds: number): Promise<unknown>;
    /** Makes a call with any number of answers; the returned function ends it. */
    observe(kind: EndpointCallKind, content: unknown, observer: CallObserver): () => void;
    /** Calls the listener when an answer shows that the endpoint is leaving, or no longer is. */
    onLeavingChange(listener: () => void): () => void;
    isLeaving(): boolean;
    close(): void;
    readonly closed: Promise<void>;
}

/** Receives the answers of one call. */
interface CallObserver {
    answer(content: unknown): void;
    fail(error: Error): void;
}
