import type { Clock } from "../../clock/types/Clock.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import { soakDatabases } from "../soakDatabases.js";
import type { SoakSite } from "../types/SoakSite.js";
import { waitForAnswer } from "../waitForAnswer/index.js";

/**
 * Checks whether every VM is ready and serves every database.
 *
 * @param site The site.
 * @param clock Source of time for the answer timeout.
 * @returns Whether all VMs serve all databases.
 *
 * @example
 * const isServed = await isSiteServing(site, clock);
 */
export async function isSiteServing(site: SoakSite, clock: Clock): Promise<boolean> {
    const answers = site.vms.map(async vm => {
        const isReady = await vm.isReady().catch(() => false);
        return isReady
            && await Promise.all(
                soakDatabases.map(({ name }) => isDatabaseServed(vm.callerLink.port, name, site.workspaces?.[0]?.key)),
            );
    });
    const served = await waitForAnswer(Promise.all(answers), clock);
    return served?.flat().every(Boolean) === true;
}

async function isDatabaseServed(port: number, database: string, key: string | undefined): Promise<boolean> {
    const { caller, opening } = await createCallerStandIn(port, database, undefined, key);
    try {
        return opening.state !== undefined && opening.failure === undefined;
    }
    finally {
        caller.close();
    }
}
