import type { Clock } from "../../clock/types/Clock.js";
import type { Address } from "../../network/types/Address.js";
import { iterateSubscription } from "../../transport/iterateSubscription/index.js";
import type { Peers } from "../../transport/types/Peers.js";
import { topologyConstants } from "../constants.js";
import type { createViewRouter } from "../createViewRouter/index.js";
import type { ViewUpdate } from "../types/ViewUpdate.js";

/** Options of `watchView`. */
interface WatchViewOptions {
    readonly peers: Peers;
    readonly clock: Clock;
    readonly gateways: readonly Address[];
    readonly signal: AbortSignal;
}

/**
 * Subscribes to the view of the first gateway that answers, and to that of the next one when the subscription ends.
 *
 * @param options Peers, clock, gateways in order of preference, and the signal that ends the generator.
 * @returns Yields each update; a new gateway first sends its whole view.
 *
 * @example
 * for await (const update of watchView(options)) { applyUpdate(update); }
 */
export async function* watchView(options: WatchViewOptions): AsyncGenerator<ViewUpdate> {
    const { peers, clock, gateways, signal } = options;
    for (let attempt = 0; !signal.aborted; attempt += 1) {
        const gateway = gateways[attempt % gateways.length] as Address;
        const client = peers.clientOf<ReturnType<typeof createViewRouter>>(gateway);
        try {
            for await (
                const update of iterateSubscription<ViewUpdate>(
                    observer => client.view.watch.subscribe(undefined, observer),
                    signal,
                )
            ) {
                yield update;
            }
        }
        catch {
            // The next gateway is tried after the pause below.
        }
        await clock.sleep(topologyConstants.resubscribeDelayMilliseconds, signal);
    }
}
