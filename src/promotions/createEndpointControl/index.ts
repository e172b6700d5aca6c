import type { Directory } from "../../directory/types/Directory.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { VmPeer } from "../../duty/types/VmPeer.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { EndpointOpener } from "../../placement/types/EndpointOpener.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/** Options of `createEndpointControl`. */
interface EndpointControlOptions {
    readonly directory: Directory;
    readonly open: EndpointOpener;
    readonly otherVms: Duty["otherVms"];
    readonly peerOf: (vm: VmIdentity) => VmPeer;
}

/** A connection of control, with the life of the endpoint that it leads to. */
interface ControlSession {
    readonly session: EndpointSession;
    readonly endpointStartedAt: number;
}

/**
 * Creates the connections by which endpoints are watched and told to change roles: one an endpoint, opened when needed.
 *
 * @param options The directory, how to open connections, and how to have other VMs do it.
 * @returns The control, with nothing open.
 *
 * @example
 * const [answer] = await control.run({ endpointId, statements: [{ kind: OutgoingKind.ReadStatus }], timeoutMilliseconds });
 */
export function createEndpointControl(options: EndpointControlOptions): EndpointControl {
    const { directory } = options;
    const sessions = new Map<string, ControlSession>();
    /** The end of the last exchange with each endpoint: one exchange at a time. */
    const tails = new Map<string, Promise<unknown>>();

    function run(command: EndpointCommand): Promise<readonly StatementAnswer[]> {
        const before = tails.get(command.endpointId) ?? Promise.resolve();
        const exchange = before.then(() => runNow(command));
        tails.set(command.endpointId, exchange.catch(() => undefined));
        return exchange;
    }

    async function runNow(command: EndpointCommand): Promise<readonly StatementAnswer[]> {
        const session = await sessionOf(command);
        return await session.exchange(command.statements, command.timeoutMilliseconds);
    }

    async function sessionOf({ endpointId, timeoutMilliseconds }: EndpointCommand): Promise<EndpointSession> {
        const endpoint = directory.endpoint(endpointId);
        if (endpoint === undefined) {
            throw createError(ErrorKind.NotFound, `Endpoint ${endpointId} is not known.`, {
                remedy: "Wait until it registers itself.",
            });
        }
        const present = sessions.get(endpointId);
        if (present?.session.isClosed === false && present.endpointStartedAt === endpoint.startedAt) {
            return present.session;
        }
        present?.session.close();
        const session = await options.open(endpoint, timeoutMilliseconds);
        sessions.set(endpointId, { session, endpointStartedAt: endpoint.startedAt });
        return session;
    }

    async function runFromAnywhere(command: EndpointCommand): Promise<readonly StatementAnswer[]> {
        const fromOthers = () => options.otherVms().map(vm => options.peerOf(vm).command(command));
        return await run(command).catch(() => Promise.any(fromOthers()));
    }

    async function stop(): Promise<void> {
        for (const { session } of sessions.values()) {
            session.close();
        }
    }

    return { run, runFromAnywhere, stop };
}
