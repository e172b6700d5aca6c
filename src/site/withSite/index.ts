import { startSite } from "../startSite/index.js";
import type { Site } from "../types/Site.js";
import type { SiteDescription } from "../types/SiteDescription.js";

/**
 * Starts a site, calls a function with it and stops it, even if the function fails.
 *
 * @param description The site.
 * @param use Called with the running site.
 * @returns The result of `use`.
 *
 * @example
 * const outcome = await withSite(describeSmallSite(7), site => offerSiteLoad(site, plan));
 */
export async function withSite<Result>(
    description: SiteDescription,
    use: (site: Site) => Promise<Result>,
): Promise<Result> {
    const site = await startSite(description);
    try {
        return await use(site);
    }
    finally {
        await site.stop();
    }
}
