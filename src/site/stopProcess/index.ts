import { siteConstants } from "../constants.js";
import type { SiteProcess } from "../types/SiteProcess.js";

/**
 * Ends a process: asks it to stop, and kills it when it does not.
 *
 * @param running The process, which may have ended or be frozen.
 *
 * @example
 * await stopProcess(site.process("vm-1-entry"));
 */
export async function stopProcess(running: SiteProcess): Promise<void> {
    running.signal("SIGCONT");
    running.signal("SIGTERM");
    const timer = setTimeout(() => running.signal("SIGKILL"), siteConstants.stopTimeoutMilliseconds);
    await running.exited;
    clearTimeout(timer);
}
