/** The record of a case: what was sent, answered and run, one line each; the case ends with an exit code. */
import { closeSync, openSync, writeSync } from "node:fs";

export function createRecord(file) {
    const startedAt = performance.now();
    const descriptor = openSync(file, "w");
    const write = (event, fields = {}) => {
        const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
        writeSync(descriptor, `${at} ${event} ${JSON.stringify(fields)}\n`);
    };
    return { write, close: () => closeSync(descriptor) };
}
