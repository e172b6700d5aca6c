import type { CallerAnswer } from "./CallerAnswer.js";

/** A caller's session, for tests. */
export interface CallerStandIn {
    /** Sends a statement under a new id and waits for the answer. */
    run(text: string): Promise<CallerAnswer>;
    /** Sends bytes without encoding them as a message. */
    sendRaw(bytes: string): void;
    /** Waits for the next complete answer. */
    nextAnswer(): Promise<CallerAnswer>;
    /** Id of the statement sent last. */
    lastId(): string;
    /** Resolves when the connection was closed. */
    readonly closed: Promise<void>;
    close(): void;
}
