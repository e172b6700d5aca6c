import { siteConstants } from "../constants.js";
import type { SiteProcess } from "../types/SiteProcess.js";

/**
 * Stops a process gracefully, and kills it if it has not exited within the time limit.
 *
 * @param running The process, which may have exited or be paused.
 *
 * @example
 * await stopProcess(site.findProcess("vm-1-entry"));
 */
export async function stopProcess(running: SiteProcess): Promise<void> {
    running.signal("SIGCONT");
    running.signal("SIGTERM");
    const timer = setTimeout(() => running.signal("SIGKILL"), siteConstants.stopTimeoutMilliseconds);
    await running.exited;
    clearTimeout(timer);
}
