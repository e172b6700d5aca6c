import { readFile } from "node:fs/promises";
import { readResidentMegabytes } from "../readResidentMegabytes/index.js";

/** What a process has used since its start. */
interface ProcessUse {
    readonly processorSeconds: number;
    /** Bytes read and written by calls of the process, sockets and files together. */
    readonly bytes: number;
    readonly residentMegabytes: number;
}

const clockTicksPerSecond = 100;

/**
 * Reads what a process has used since its start.
 *
 * @param processId The process.
 * @returns Its use; zeros where the system does not tell.
 *
 * @example
 * const use = await readProcessUse(site.findProcess("vm-1-gateway").processId);
 */
export async function readProcessUse(processId: number): Promise<ProcessUse> {
    const stat = await readFile(`/proc/${processId}/stat`, "utf8").catch(() => "");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11] ?? 0) + Number(fields[12] ?? 0);
    const counts = await readFile(`/proc/${processId}/io`, "utf8").catch(() => "");
    const count = (name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(counts)?.[1] ?? 0);
    return {
        processorSeconds: ticks / clockTicksPerSecond,
        bytes: count("rchar") + count("wchar"),
        residentMegabytes: await readResidentMegabytes(processId),
    };
}
