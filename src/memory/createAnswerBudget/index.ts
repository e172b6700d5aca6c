import type { AnswerAccount } from "../types/AnswerAccount.js";
import type { AnswerBudget } from "../types/AnswerBudget.js";

/** What one connection has received of answers that are not complete. */
interface Reader {
    readonly control: { pause(): void; resume(): void; };
    bytes: number;
    isPaused: boolean;
}

/**
 * Creates the budget of the bytes of answers that endpoints are sending. When they fill it, only the connection that
 * began to receive first is read, so that one answer always arrives in full; the others wait.
 *
 * @param totalBytes Bytes with which connections wait for each other.
 * @param onReceived Called with the size of what was received; by default nothing is done.
 * @returns The budget, without connections.
 *
 * @example
 * const budget = createAnswerBudget(8_388_608);
 */
export function createAnswerBudget(totalBytes: number, onReceived: (bytes: number) => void = () => {}): AnswerBudget {
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
        if (heldBytes <= totalBytes) {
            receiving.forEach(resume);
        }
        else {
            resume(findFirst()!);
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
