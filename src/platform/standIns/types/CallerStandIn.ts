import type { CallerAnswer } from "./CallerAnswer.js";

/** A caller's session, for tests. */
export interface CallerStandIn {
    /** Sends a statement with an id of its own and waits for its answer. */
    run(text: string): Promise<CallerAnswer>;
    /** Sends bytes as they are. */
    sendRaw(bytes: string): void;
    /** Waits for the next complete answer. */
    nextAnswer(): Promise<CallerAnswer>;
    /** Id of the newest statement. */
    lastId(): string;
    readonly closed: Promise<void>;
    close(): void;
}
