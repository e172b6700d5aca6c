import type { Clock } from "../../clock/types/Clock.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { createForwardingRouter } from "../createForwardingRouter/index.js";
import { createHostLink } from "../createHostLink/index.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { ForwardingClient } from "../types/ForwardingClient.js";
import type { HostLink } from "../types/HostLink.js";
import type { SessionOpener } from "../types/SessionOpener.js";

type ForwardingRouter = ReturnType<typeof createForwardingRouter>;

/**
 * Creates the function that creates sessions at other VMs, over one link to each of them.
 *
 * @param peers The transport between processes.
 * @param clock Measures time limits.
 * @param keyPrefix Prefix of the session keys; unique among all VMs and their restarts.
 * @returns Creates a session at another VM.
 *
 * @example
 * const session = createSessionOpener(peers, clock, "vm-1-83")(host, "shop");
 */
export function createSessionOpener(peers: Peers, clock: Clock, keyPrefix: string): SessionOpener {
    const links = new Map<string, HostLink>();

    return (host, opening) => {
        const { host: address, port } = host.address;
        const key = `${address}:${port}`;
        let link = links.get(key);
        if (link === undefined) {
            const client = createForwardingClient(peers, host);
            link = createHostLink({ clock, client, hostName: host.name, keyPrefix: `${keyPrefix}-${key}` });
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
