import { memoryConstants } from "../constants.js";
import type { MachineMemory } from "../types/MachineMemory.js";
import type { MemoryLimits } from "../types/MemoryLimits.js";

/**
 * Chooses the limits of the memory that callers' connections hold. The total has an upper bound, because the program's
 * heap has one too.
 *
 * @param memory The machine's limit in megabytes, the callers' share, and the bytes of one connection.
 * @returns The limits in bytes.
 *
 * @example
 * chooseMemoryLimits({ megabytes: 350, callerShare: 0.25, connectionBytes: 524_288 }).totalBytes; // => 52_428_800
 */
export function chooseMemoryLimits({ megabytes, callerShare, connectionBytes }: MachineMemory): MemoryLimits {
    const { bytesPerMegabyte, leastTotalBytes, mostTotalBytes, ownMegabytes } = memoryConstants;
    const bytes = Math.floor((megabytes - ownMegabytes) * bytesPerMegabyte * callerShare);
    return { totalBytes: Math.min(Math.max(bytes, leastTotalBytes), mostTotalBytes), connectionBytes };
}
