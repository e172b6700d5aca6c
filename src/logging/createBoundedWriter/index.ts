import type { Clock } from "../../clock/types/Clock.js";
import { loggingConstants } from "../constants.js";

/** Destination of log lines; standard output in production. */
interface LineSink {
    /** Bytes that were written and are still buffered for the reader. */
    readonly writableLength: number;
    write(line: string): unknown;
}

/**
 * Creates a rate-limited writer of log lines that never waits for the reader.
 *
 * Lines above the rate, and lines while too many bytes are buffered for the reader, are dropped; the next line written
 * is preceded by one with the number of dropped lines.
 *
 * @param sink Destination of the lines.
 * @param clock Source of time.
 * @param linesPerSecond Sustained rate; bursts up to `burstLines` are allowed.
 * @returns A function that writes one line.
 *
 * @example
 * const logger = createLogger("vm-1", clock, createBoundedWriter(process.stdout, clock));
 */
export function createBoundedWriter(
    sink: LineSink,
    clock: Clock,
    linesPerSecond: number = loggingConstants.linesPerSecond,
): (line: string) => void {
    const { burstLines, maximumBufferedBytes, millisecondsPerSecond } = loggingConstants;
    let availableTokens: number = burstLines;
    let refilledAt = clock.now();
    let leftOut = 0;

    function refill(): void {
        const now = clock.now();
        availableTokens = Math.min(
            availableTokens + (now - refilledAt) * linesPerSecond / millisecondsPerSecond,
            burstLines,
        );
        refilledAt = now;
    }

    return line => {
        refill();
        if (availableTokens < 1 || sink.writableLength > maximumBufferedBytes) {
            leftOut += 1;
            return;
        }
        if (leftOut > 0) {
            sink.write(`${JSON.stringify({ topic: "logging", message: "lines were left out", leftOut })}\n`);
            leftOut = 0;
        }
        availableTokens -= 1;
        sink.write(line);
    };
}
