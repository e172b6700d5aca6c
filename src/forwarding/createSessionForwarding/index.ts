import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
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
    readonly directory: Pick<Directory, "routeOf" | "routingVersion">;
    readonly hosts: SessionHosts;
    readonly open: SessionOpener;
    readonly log: LogTopic;
}

/** A session that is being opened. */
interface NewSession {
    readonly connection: CallerConnection;
    readonly database: string;
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
 * const session = forwarding.forward(connection, "shop", createLocal) ?? createLocal();
 */
export function createSessionForwarding(options: SessionForwardingOptions): SessionForwarding {
    const { clock, directory, hosts, log } = options;
    let newestHostRoutingVersion = 0;

    function forwardTo(host: VmIdentity, session: NewSession): CallerSession {
        const { connection, database, group, workspace, createLocal } = session;
        log("session is forwarded", { database, group, host: host.name });
        return createForwardedSession({
            clock,
            connection,
            database,
            hostName: host.name,
            hosted: options.open(host, database),
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
        forward: (connection, database, createLocal, workspace) => {
            const group = directory.routeOf(database)?.group;
            const host = group === undefined ? undefined : hosts.hostOf(group, workspace);
            return group === undefined || host === undefined
                ? undefined
                : forwardTo(host, { connection, database, group, workspace, createLocal });
        },
    };
}
