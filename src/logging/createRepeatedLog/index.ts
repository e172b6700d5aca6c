import type { LogTopic } from "../types/LogTopic.js";

/** Least time between two lines, in milliseconds. */
const intervalMilliseconds = 1_000;

/**
 * Creates the log of something that may happen very often: at most one line a second, with the number of times.
 *
 * @param log Writes the line.
 * @param message The message.
 * @param now Reads the time in milliseconds.
 * @returns The function that records one time, with fields for the line.
 *
 * @example
 * const record = createRepeatedLog(log, "connections of strangers closed", clock.now);
 */
export function createRepeatedLog(
    log: LogTopic,
    message: string,
    now: () => number,
): (fields?: Readonly<Record<string, unknown>>) => void {
    let times = 0;
    let loggedAt = -Infinity;
    return fields => {
        times += 1;
        if (now() - loggedAt >= intervalMilliseconds) {
            log(message, { times, ...fields });
            times = 0;
            loggedAt = now();
        }
    };
}
