import type { ForwardedAnswer } from "./ForwardedAnswer.js";
import type { ForwardedStatement } from "./ForwardedStatement.js";

/** Receives the keys of sessions that the host has closed, and the end of the subscription. */
interface ClosedSessionsObserver {
    onData(sessionKeys: readonly string[]): void;
    onError(error: Error): void;
    onComplete(): void;
}

/** Client for calls of the forwarding router of one host. */
export interface ForwardingClient {
    run(statement: ForwardedStatement): Promise<ForwardedAnswer>;
    close(sessionKeys: readonly string[]): Promise<void>;
    /** Fails when the host does not answer. */
    probe(): Promise<boolean>;
    /** Subscribes to the sessions that the host closes; the subscription ends with the connection. */
    watchClosed(observer: ClosedSessionsObserver): { unsubscribe(): void; };
}
