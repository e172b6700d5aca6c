import { waitForValue } from "../../site/waitForValue/index.js";
import { hostileCallerConstants } from "../constants.js";
import type { ProcessWatch } from "../types/ProcessWatch.js";

/**
 * Waits until a process has accepted a crowd, and then has given up its descriptors by itself.
 *
 * @param watch Watches the process.
 * @throws TarragonpostError of kind `DeadlineExceeded` when the descriptors stay open.
 *
 * @example
 * await waitForRelease(site.watch);
 */
export async function waitForRelease(watch: ProcessWatch): Promise<void> {
    const { ownDescriptors, releaseTimeoutMilliseconds } = hostileCallerConstants;
    await waitForValue(
        "the crowd is accepted",
        releaseTimeoutMilliseconds,
        async () => (watch.greatestUse()?.descriptors ?? Infinity) > ownDescriptors ? true : undefined,
    );
    await waitForValue(
        "the descriptors of the crowd are free",
        releaseTimeoutMilliseconds,
        async () => watch.countDescriptors() < ownDescriptors ? true : undefined,
    );
}
