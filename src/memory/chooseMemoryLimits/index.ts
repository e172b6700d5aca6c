import { memoryConstants } from "../constants.js";
import type { MachineMemory } from "../types/MachineMemory.js";
import type { MemoryLimits } from "../types/MemoryLimits.js";

/**
 * Chooses the limits of the memory that callers' connections hold. The total has an upper bound, because the program's
 * heap has one too.
 *
 * @param memory The machine's limit in megabytes, the callers' share, and the bytes of one connection.
 * @param ofOne Bytes that one session may keep from statement to statement, and that an endpoint may answer at once.
 * @returns The limits in bytes.
 *
 * @example
 * chooseMemoryLimits({ megabytes: 350, callerShare: 0.25, connectionBytes: 524_288 }, callerLimits).totalBytes; // => 52_428_800
 */
export function chooseMemoryLimits(
    { megabytes, callerShare, connectionBytes }: MachineMemory,
    { sessionBytes, answerBytes }: Pick<MemoryLimits, "sessionBytes" | "answerBytes">,
): MemoryLimits {
    const { leastTotalBytes, mostTotalBytes, stateShare, leastStateBytes, mostStateBytes } = memoryConstants;
    const spareBytes = (megabytes - memoryConstants.ownMegabytes) * memoryConstants.bytesPerMegabyte;
    return {
        totalBytes: clamp(Math.floor(spareBytes * callerShare), leastTotalBytes, mostTotalBytes),
        connectionBytes,
        stateBytes: clamp(Math.floor(spareBytes * stateShare), leastStateBytes, mostStateBytes),
        sessionBytes,
        answerBytes,
    };
}

function clamp(value: number, least: number, most: number): number {
    return Math.min(Math.max(value, least), most);
}
