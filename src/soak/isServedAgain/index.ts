import type { Clock } from "../../clock/types/Clock.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import { soakDatabases } from "../soakDatabases.js";
import type { SoakSite } from "../types/SoakSite.js";
import { waitPatiently } from "../waitPatiently/index.js";

/**
 * Checks whether every VM is ready and serves every database.
 *
 * @param site The site.
 * @param clock Source of time for the answer timeout.
 * @returns Whether all VMs serve all databases.
 *
 * @example
 * const isServed = await isServedAgain(site, clock);
 */
export async function isServedAgain(site: SoakSite, clock: Clock): Promise<boolean> {
    const answers = site.vms.map(async vm => {
        const isReady = await vm.isReady().catch(() => false);
        return isReady && await Promise.all(soakDatabases.map(({ name }) => isDatabaseServed(vm.callers.port, name)));
    });
    const served = await waitPatiently(Promise.all(answers), clock);
    return served?.flat().every(Boolean) === true;
}

async function isDatabaseServed(port: number, database: string): Promise<boolean> {
    const { caller, opening } = await createCallerStandIn(port, database);
    try {
        return opening.state !== undefined && opening.failure === undefined;
    }
    finally {
        caller.close();
    }
}
