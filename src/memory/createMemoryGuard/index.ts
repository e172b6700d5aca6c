import { memoryConstants } from "../constants.js";

/** Options of `createMemoryGuard`. */
interface MemoryGuardOptions {
    /** Memory limit of the machine, in megabytes. */
    readonly megabytes: number;
    /** Reads the resident memory of the process, in bytes. */
    readonly readResidentBytes: () => number;
    readonly collectGarbage: () => void;
}

/**
 * Creates the guard of the process's memory. The runtime collects garbage by the limit of its heap, which does not count
 * received bytes and leaves no room for them; the guard has it collected when the machine's memory runs short.
 *
 * The memory is looked at each time that some bytes have passed, so an idle process does nothing.
 *
 * @param options The machine's limit, and access to the runtime.
 * @returns The function that counts bytes that were received.
 *
 * @example
 * const countBytes = createMemoryGuard({ megabytes: 250, readResidentBytes: process.memoryUsage.rss, collectGarbage });
 */
export function createMemoryGuard(options: MemoryGuardOptions): (bytes: number) => void {
    const { readResidentBytes, collectGarbage } = options;
    const { bytesPerMegabyte, guardShare, guardIntervalBytes, guardGrowthBytes } = memoryConstants;
    const guardedBytes = options.megabytes * bytesPerMegabyte * guardShare;
    let passedBytes = 0;
    let leastBytes = guardedBytes;

    return bytes => {
        passedBytes += bytes;
        if (passedBytes < guardIntervalBytes) {
            return;
        }
        passedBytes = 0;
        if (readResidentBytes() > leastBytes) {
            collectGarbage();
            // What remains is in use; collecting again helps only once more has been added.
            leastBytes = Math.max(guardedBytes, readResidentBytes() + guardGrowthBytes);
        }
        else {
            leastBytes = Math.max(guardedBytes, Math.min(leastBytes, readResidentBytes() + guardGrowthBytes));
        }
    };
}
