import type { CallerReply } from "./CallerReply.js";
import type { LoadEntry } from "./LoadEntry.js";

/** Sends callers' requests to entries. */
export interface CallerClient {
    /**
     * Posts one request; a lost connection is an outcome too, never an exception.
     */
    post(entry: LoadEntry, call: CallerCall): Promise<CallerReply>;
    stop(): Promise<void>;
}

interface CallerCall {
    readonly path: string;
    readonly callerKey: string;
    readonly body: Readonly<Record<string, unknown>>;
    readonly timeoutMilliseconds: number;
}
