import { trpc } from "../../transport/trpc/index.js";
import type { GatewayTopology } from "../types/GatewayTopology.js";
import type { ViewUpdate } from "../types/ViewUpdate.js";

/**
 * Creates the procedure with which entries subscribe to a gateway's view of the fleet.
 *
 * @param topology The gateway's topology.
 * @returns A router that mounts `view.watch`.
 *
 * @example
 * const router = createViewRouter(topology);
 */
export function createViewRouter(topology: GatewayTopology) {
    return trpc.router({
        view: trpc.router({
            watch: trpc.procedure.subscription(({ signal }) => followView(topology, signal)),
        }),
    });
}

async function* followView(topology: GatewayTopology, signal: AbortSignal | undefined): AsyncGenerator<ViewUpdate> {
    const sentTerms = new Map<string, number>();
    let sentPeers: readonly unknown[] | undefined;
    let sentLeaving = "";
    let wake = (): void => {};
    const stopListening = topology.onViewChange(() => wake());
    signal?.addEventListener("abort", () => wake());
    try {
        while (signal?.aborted !== true) {
            const changed = new Promise<void>(resolve => {
                wake = resolve;
            });
            const groups = topology.groups().filter(group => sentTerms.get(group.database) !== group.term);
            const peers = topology.peers();
            const leavingEndpoints = topology.leavingEndpoints();
            const leaving = leavingEndpoints.join("\n");
            yield {
                groups,
                ...(peers === sentPeers ? {} : { peers }),
                ...(leaving === sentLeaving ? {} : { leavingEndpoints }),
            };
            for (const group of groups) {
                sentTerms.set(group.database, group.term);
            }
            sentPeers = peers;
            sentLeaving = leaving;
            await changed;
        }
    }
    finally {
        stopListening();
    }
}
