import type { EndpointCallKind } from "./EndpointCallKind.js";

/** A connection to an endpoint that multiplexes calls: answers are matched to calls by id. */
export interface CallChannel {
    /** Makes one call. If no answer arrives before the timeout, the call fails and the connection is closed. */
    call(kind: EndpointCallKind, content: unknown, timeoutMilliseconds: number): Promise<unknown>;
    /** Makes a call with any number of answers; the returned function ends the call. */
    observe(kind: EndpointCallKind, content: unknown, observer: CallObserver): () => void;
    /** Calls the listener when the leaving flag in the answers changes; returns a function that unsubscribes it. */
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
