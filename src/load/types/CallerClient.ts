import type { CallerReply } from "./CallerReply.js";
import type { LoadEntry } from "./LoadEntry.js";

/** Sends the requests of callers to entries. */
export interface CallerClient {
    /**
     * Posts one request; a lost connection is returned as an outcome and never thrown.
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
