import { identifyCaller } from "../../callerSessions/identifyCaller/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { createForwardedSession } from "../createForwardedSession/index.js";
import type { SessionForwarding } from "../types/SessionForwarding.js";
import type { SessionHosts } from "../types/SessionHosts.js";
import type { SessionOpener } from "../types/SessionOpener.js";

/** Options of `createSessionForwarding`. */
interface SessionForwardingOptions {
    readonly clock: Clock;
    readonly directory: Pick<Directory, "routeOf" | "routingTable" | "routingVersion" | "workspaceOf">;
    readonly hosts: SessionHosts;
    readonly open: SessionOpener;
    readonly log: LogTopic;
}

/**
 * Creates the forwarding of callers' sessions to the VMs that hold connections to the endpoints.
 *
 * @param options Directory, the choice of hosts, and the function that opens a session at a host.
 * @returns The forwarding.
 *
 * @example
 * const session = forwarding.forward(connection, { database: "shop", keyDigest }, createLocal) ?? createLocal();
 */
export function createSessionForwarding(options: SessionForwardingOptions): SessionForwarding {
    const { clock, directory, hosts, log } = options;
    let newestHostRoutingVersion = 0;

    return {
        forward: (connection, opening, createLocal) => {
            const { database, keyDigest } = opening;
            const route = directory.routeOf(database);
            const workspace = route && identifyCaller(route, keyDigest, directory)?.workspace?.name;
            const host = route && hosts.hostOf(route.group, workspace);
            if (host === undefined) {
                return undefined;
            }
            log("session is forwarded", { database, group: route?.group, host: host.name });
            return createForwardedSession({
                clock,
                connection,
                database,
                hostName: host.name,
                hosted: options.open(host, opening),
                createLocal,
                routingVersion: () => Math.max(directory.routingVersion(), newestHostRoutingVersion),
                onRoutingVersion: version => {
                    newestHostRoutingVersion = Math.max(newestHostRoutingVersion, version);
                },
                onHostLost: () => hosts.avoid(host),
                log,
            });
        },
    };
}
