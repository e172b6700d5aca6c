import { startSite } from "../startSite/index.js";
import type { Site } from "../types/Site.js";
import type { SiteDescription } from "../types/SiteDescription.js";

/**
 * Starts a site, uses it and stops it, whatever happens.
 *
 * @param description The site.
 * @param use What to do with it.
 * @returns What `use` returned.
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
