import type { Clock } from "../../clock/types/Clock.js";
import { loggingConstants } from "../constants.js";

/** Where lines are written; standard output in a real process. */
interface LineSink {
    /** Bytes that were written and not yet taken by the reader. */
    readonly writableLength: number;
    write(line: string): unknown;
}

/**
 * Creates a writer of log lines whose volume is bounded and that never waits for the reader.
 *
 * Lines beyond the rate, or while too much waits for the reader, are left out and counted in a line of their own.
 *
 * @param sink Where the lines go.
 * @param clock Source of time.
 * @param linesPerSecond Lines that may be written each second.
 * @returns Writes one line.
 *
 * @example
 * const logger = createLogger("vm-1", clock, createBoundedWriter(process.stdout, clock));
 */
export function createBoundedWriter(
    sink: LineSink,
    clock: Clock,
    linesPerSecond: number = loggingConstants.linesPerSecond,
): (line: string) => void {
    const { burstLines, waitingBytes, millisecondsPerSecond } = loggingConstants;
    let allowance: number = burstLines;
    let refilledAt = clock.now();
    let leftOut = 0;

    function refill(): void {
        const now = clock.now();
        allowance = Math.min(allowance + (now - refilledAt) * linesPerSecond / millisecondsPerSecond, burstLines);
        refilledAt = now;
    }

    return line => {
        refill();
        if (allowance < 1 || sink.writableLength > waitingBytes) {
            leftOut += 1;
            return;
        }
        if (leftOut > 0) {
            sink.write(`${JSON.stringify({ topic: "logging", message: "lines were left out", leftOut })}\n`);
            leftOut = 0;
        }
        allowance -= 1;
        sink.write(line);
    };
}
