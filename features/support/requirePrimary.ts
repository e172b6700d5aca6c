import { findPrimary } from "../../src/site/findPrimary/index.js";
import { readEndpointStatus } from "../../src/site/readEndpointStatus/index.js";
import type { SiteEndpoint } from "../../src/site/types/SiteEndpoint.js";
import { featureConstants } from "./featureConstants.js";
import type { ScenarioWorld } from "./ScenarioWorld.js";

/** Finds the primary, and stores it and its term in the scenario's state. */
export async function requirePrimary(world: ScenarioWorld): Promise<SiteEndpoint> {
    const primary = await findPrimary(world.site.plan, featureConstants.database);
    if (primary === undefined) {
        throw new Error("the database has no primary with a follower");
    }
    world.primaryBeforeFault = primary;
    world.termBeforeFault = (await readEndpointStatus(primary)).term;
    return primary;
}
