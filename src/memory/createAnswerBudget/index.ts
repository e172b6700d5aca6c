import type { Clock } from "../../clock/types/Clock.js";
import { createRepeatedLog } from "../../logging/createRepeatedLog/index.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { AnswerAccount } from "../types/AnswerAccount.js";
import type { AnswerBudget } from "../types/AnswerBudget.js";
import type { MemoryLimits } from "../types/MemoryLimits.js";

/** What one connection has received of answers that are not complete. */
interface Reader {
    readonly control: Parameters<AnswerBudget["openAnswers"]>[0];
    bytes: number;
    isPaused: boolean;
}

/** Options of `createAnswerBudget`. */
interface AnswerBudgetOptions {
    /** Bytes with which connections wait for each other, and most bytes of the answers to one exchange. */
    readonly limits: Pick<MemoryLimits, "totalBytes" | "answerBytes">;
    readonly clock: Pick<Clock, "now">;
    readonly metrics: Pick<Metrics, "countLongAnswer">;
    readonly log: LogTopic;
    /** Called with the size of what was received; by default nothing is done. */
    readonly onReceived?: (bytes: number) => void;
}

/**
 * Creates the budget of the bytes of answers that endpoints are sending. When they fill it, only the connection that
 * began to receive first is read, so that one answer always arrives in full; the others wait. A connection whose
 * answers are longer than allowed is closed.
 *
 * @param options Limits in bytes, clock, metrics, log, and what is told of received bytes.
 * @returns The budget, without connections.
 *
 * @example
 * const budget = createAnswerBudget({ limits: { totalBytes: 8_388_608, answerBytes: 16_777_216 }, clock, metrics, log });
 */
export function createAnswerBudget(options: AnswerBudgetOptions): AnswerBudget {
    const { limits: { totalBytes, answerBytes }, clock, metrics, onReceived = () => {} } = options;
    const logLongAnswer = createRepeatedLog(
        options.log,
        "connections to endpoints closed: answers are too long",
        clock.now,
    );
    /** Connections that are receiving, in the order in which they began. */
    const receiving = new Set<Reader>();
    let heldBytes = 0;

    function openAnswers(control: Reader["control"]): AnswerAccount {
        const reader: Reader = { control, bytes: 0, isPaused: false };
        return { add: bytes => add(reader, bytes), release: () => release(reader) };
    }

    function add(reader: Reader, bytes: number): void {
        onReceived(bytes);
        receiving.add(reader);
        reader.bytes += bytes;
        heldBytes += bytes;
        if (reader.bytes > answerBytes) {
            metrics.countLongAnswer();
            logLongAnswer({ bytes: reader.bytes, answerBytes });
            release(reader);
            reader.control.destroy();
            return;
        }
        if (heldBytes > totalBytes && reader !== findFirst()) {
            reader.isPaused = true;
            reader.control.pause();
        }
    }

    function release(reader: Reader): void {
        receiving.delete(reader);
        heldBytes -= reader.bytes;
        reader.bytes = 0;
        resume(reader);
        const first = findFirst();
        if (heldBytes <= totalBytes) {
            receiving.forEach(resume);
        }
        else if (first !== undefined) {
            resume(first);
        }
    }

    function findFirst(): Reader | undefined {
        return receiving.values().next().value;
    }

    function resume(reader: Reader): void {
        if (reader.isPaused) {
            reader.isPaused = false;
            reader.control.resume();
        }
    }

    return { openAnswers };
}
