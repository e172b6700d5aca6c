import { checkOrdinaryCaller } from "../checkOrdinaryCaller/index.js";
import { hostileCallerConstants } from "../constants.js";
import { openCrowd } from "../openCrowd/index.js";
import { startHostileSite } from "../startHostileSite/index.js";
import type { Crowd } from "../types/Crowd.js";
import type { HostileSite } from "../types/HostileSite.js";

/** Options of `playCrowd`. */
interface PlayOptions extends Omit<Parameters<typeof openCrowd>[1], "count"> {
    /** Number of clients. */
    readonly count?: number;
    /** What has to come about before the clients leave; by default, that no byte passes any more. */
    readonly until?: (crowd: Crowd, site: HostileSite) => Promise<void>;
    /** What is done before the clients connect. */
    readonly prepare?: (site: HostileSite) => Promise<void>;
    /** Whether the clients stay connected while the ordinary request is made. */
    readonly isStaying?: boolean;
    /** Address that the clients connect to; by default that for callers. */
    readonly address?: (site: HostileSite) => { readonly host: string; readonly port: number; };
}

/**
 * Starts a VM with lowered limits, lets a crowd of clients misbehave, and checks that the VM has stayed within its
 * memory and descriptors and serves an ordinary caller afterwards.
 *
 * @param options What the crowd does.
 *
 * @example
 * await playCrowd({ begin: socket => socket.write("STARTUP shop") });
 */
export async function playCrowd(options: PlayOptions): Promise<void> {
    const { count = hostileCallerConstants.crowdSize, until = crowd => crowd.settled() } = options;
    const site = await startHostileSite();
    let crowd: Crowd | undefined;
    try {
        await options.prepare?.(site);
        const address = options.address?.(site) ?? site.vm.callerAddress;
        crowd = await openCrowd(address, { ...options, count });
        await until(crowd, site);
        if (options.isStaying !== true) {
            crowd.stop();
        }
        await checkOrdinaryCaller(site);
    }
    finally {
        crowd?.stop();
        await site.stop();
    }
}
