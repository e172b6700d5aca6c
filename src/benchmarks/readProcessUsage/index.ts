import { readFile } from "node:fs/promises";
import { readResidentMegabytes } from "../readResidentMegabytes/index.js";

/** Resource usage of a process since its start. */
interface ProcessUsage {
    readonly processorSeconds: number;
    /** Bytes of the read and write calls of the process, sockets and files together. */
    readonly bytes: number;
    readonly residentMegabytes: number;
}

const clockTicksPerSecond = 100;

/**
 * Reads the resource usage of a process since its start.
 *
 * @param processId Id of the process.
 * @returns The resource usage; 0 for values that `/proc` does not provide.
 *
 * @example
 * const usage = await readProcessUsage(site.findProcess("vm-1-gateway").processId);
 */
export async function readProcessUsage(processId: number): Promise<ProcessUsage> {
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
