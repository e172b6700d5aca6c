import { readdirSync, readFileSync } from "node:fs";
import { hostileCallerConstants } from "../constants.js";
import type { ProcessUse } from "../types/ProcessUse.js";
import type { ProcessWatch } from "../types/ProcessWatch.js";

/**
 * Watches the memory and the open descriptors of a process.
 *
 * The kernel keeps the greatest resident memory of a process itself; descriptors are counted at intervals.
 *
 * @param processId Id of the process.
 * @returns The watch, running until it is stopped.
 *
 * @example
 * const watch = watchProcess(vm.processId()!);
 */
export function watchProcess(processId: number): ProcessWatch {
    let mostDescriptors = 0;
    const timer = setInterval(countDescriptors, hostileCallerConstants.samplingMilliseconds);

    function countDescriptors(): number {
        try {
            const { length } = readdirSync(`/proc/${processId}/fd`);
            mostDescriptors = Math.max(mostDescriptors, length);
            return length;
        }
        catch {
            return 0;
        }
    }

    function greatestUse(): ProcessUse | undefined {
        try {
            const status = readFileSync(`/proc/${processId}/status`, "utf8");
            const kibibytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]);
            return {
                megabytes: Math.round(kibibytes / hostileCallerConstants.bytesPerKibibyte),
                descriptors: Math.max(mostDescriptors, countDescriptors()),
            };
        }
        catch {
            return undefined;
        }
    }

    return { countDescriptors, greatestUse, stop: () => clearInterval(timer) };
}
