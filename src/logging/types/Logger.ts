import type { LogTopic } from "./LogTopic.js";

/** Writes log lines as JSON; `debug` namespaces select the topics that are written. */
export interface Logger {
    /** Returns a function that writes lines under the namespace `tarragonpost:<topic>`. */
    topic(name: string): LogTopic;
}
