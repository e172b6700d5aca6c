import type { Clock } from "../../clock/types/Clock.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { createForwardingRouter } from "../createForwardingRouter/index.js";
import { createHostLink } from "../createHostLink/index.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { ForwardingClient } from "../types/ForwardingClient.js";
import type { HostLink } from "../types/HostLink.js";
import type { SessionOpener } from "../types/SessionOpener.js";

/** Options of `createSessionOpener`. */
interface SessionOpenerOptions {
    readonly peers: Peers;
    readonly clock: Clock;
    /** Returns the routing table in force at this VM. */
    readonly routingTable: () => RoutingTable | undefined;
    /** Prefix of the session keys; unique among all VMs and their restarts. */
    readonly keyPrefix: string;
}

type ForwardingRouter = ReturnType<typeof createForwardingRouter>;

/**
 * Creates the function that creates sessions at other VMs, over one link to each of them.
 *
 * @param options The transport between processes, the clock, this VM's routing table and the prefix of session keys.
 * @returns Creates a session at another VM.
 *
 * @example
 * const session = createSessionOpener({ peers, clock, routingTable, keyPrefix: "vm-1-83" })(host, opening);
 */
export function createSessionOpener(options: SessionOpenerOptions): SessionOpener {
    const { peers, clock, routingTable, keyPrefix } = options;
    const links = new Map<string, HostLink>();

    return (host, opening) => {
        const { host: address, port } = host.address;
        const key = `${address}:${port}`;
        let link = links.get(key);
        if (link === undefined) {
            const client = createForwardingClient(peers, host);
            link = createHostLink({
                clock,
                client,
                hostName: host.name,
                routingTable,
                keyPrefix: `${keyPrefix}-${key}`,
            });
            links.set(key, link);
        }
        return link.openSession(opening);
    };
}

function createForwardingClient(peers: Peers, host: VmIdentity): ForwardingClient {
    const { forwarding } = peers.clientOf<ForwardingRouter>(host.address);
    return {
        run: statement => forwarding.run.mutate(statement) as Promise<ForwardedAnswer>,
        close: sessionKeys => forwarding.close.mutate([...sessionKeys]),
        probe: () => forwarding.probe.query(),
        watchClosed: observer => forwarding.watchClosed.subscribe(undefined, observer),
    };
}
