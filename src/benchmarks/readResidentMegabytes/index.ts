import { readFile } from "node:fs/promises";

const kilobytesPerMegabyte = 1_024;

/**
 * Reads the resident memory of a process.
 *
 * @param processId Id of the process.
 * @returns Resident memory in megabytes; 0 if `/proc` does not provide it.
 *
 * @example
 * const megabytes = await readResidentMegabytes(site.findProcess("vm-1-entry").processId);
 */
export async function readResidentMegabytes(processId: number): Promise<number> {
    const status = await readFile(`/proc/${processId}/status`, "utf8").catch(() => "");
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
    return Math.round(Number(match?.[1] ?? 0) / kilobytesPerMegabyte);
}
