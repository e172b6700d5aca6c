import { z } from "zod";
import type { LoadTarget } from "../../load/types/LoadTarget.js";
import { siteConstants } from "../constants.js";
import { sendAdminCall } from "../sendAdminCall/index.js";
import { waitUntil } from "../waitUntil/index.js";

const healthSchema = z.object({ state: z.literal("Serving") });

/**
 * Waits until every entry answers a read and a health check.
 *
 * @param target The entries, callers and databases.
 *
 * @example
 * await waitForService(site.target);
 */
export async function waitForService(target: LoadTarget): Promise<void> {
    await Promise.all(
        target.entries.map(entry =>
            waitUntil(`service at ${entry.name}`, siteConstants.startTimeoutMilliseconds, async () => {
                healthSchema.parse(await sendAdminCall(entry, "/v1/health"));
                return true;
            })
        ),
    );
}
