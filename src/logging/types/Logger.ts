/** Writes log lines as JSON; `debug` namespaces select what is written. */
export interface Logger {
    /** Returns a function that writes lines under the namespace `tarragonpost:<topic>`. */
    topic(name: string): (message: string, fields?: Readonly<Record<string, unknown>>) => void;
}
