import { identifyCaller } from "../../callerSessions/identifyCaller/index.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
import type { SessionOpening } from "../../callerSessions/types/SessionOpening.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
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

/** A session that is being opened. */
interface NewSession {
    readonly connection: CallerConnection;
    readonly opening: SessionOpening;
    readonly group: string;
    /** The workspace whose host is chosen; undefined when any host serves the session, or no other one is tried. */
    readonly workspace: string | undefined;
    readonly createLocal: () => CallerSession;
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

    function forwardTo(host: VmIdentity, session: NewSession): CallerSession {
        const { connection, opening, group, workspace, createLocal } = session;
        const { database } = opening;
        log("session is forwarded", { database, group, host: host.name });
        return createForwardedSession({
            clock,
            connection,
            database,
            hostName: host.name,
            hosted: options.open(host, opening),
            createLocal: workspace === undefined ? createLocal : () => createAfterLoss(host, session),
            routingVersion: () => Math.max(directory.routingVersion(), newestHostRoutingVersion),
            onRoutingVersion: version => {
                newestHostRoutingVersion = Math.max(newestHostRoutingVersion, version);
            },
            onHostLost: () => hosts.avoid(host),
            log,
        });
    }

    /** Forwards the session of a workspace to the next host, once, so that few VMs hold the workspace's connections. */
    function createAfterLoss(lostHost: VmIdentity, session: NewSession): CallerSession {
        const { group, workspace, createLocal } = session;
        const host = hosts.hostOf(group, workspace);
        return host === undefined || host.name === lostHost.name
            ? createLocal()
            : forwardTo(host, { ...session, workspace: undefined });
    }

    return {
        forward: (connection, opening, createLocal) => {
            const { database, keyDigest } = opening;
            const route = directory.routeOf(database);
            const workspace = route && identifyCaller(route, keyDigest, directory)?.workspace?.name;
            const host = route && hosts.hostOf(route.group, workspace);
            return host && forwardTo(host, { connection, opening, group: route.group, workspace, createLocal });
        },
    };
}
