import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { VmPeer } from "../../duty/types/VmPeer.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Placement } from "../../placement/types/Placement.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/** Options of `createEndpointControl`. */
interface EndpointControlOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly placement: Placement;
    /** The other VMs that hold connections to a group's endpoints. */
    readonly connectedVms: (group: string) => readonly VmIdentity[];
    readonly peerOf: (vm: VmIdentity) => VmPeer;
}

/** Statements of the proxy itself have priority over all statements of callers. */
const controlPriority = -1;

/**
 * Creates the control that queries endpoints and orders them to change roles. It uses the connections that also serve
 * callers, because an endpoint accepts only few connections.
 *
 * @param options The directory, the connections, and the clients for calls to other VMs.
 * @returns The control.
 *
 * @example
 * const [answer] = await control.run({ endpointId, statements: [{ kind: OutgoingKind.ReadStatus }], timeoutMilliseconds });
 */
export function createEndpointControl(options: EndpointControlOptions): EndpointControl {
    const { clock, directory, placement } = options;

    async function run(command: EndpointCommand): Promise<readonly StatementAnswer[]> {
        const { endpointId, statements, timeoutMilliseconds } = command;
        const group = directory.endpoint(endpointId)?.group;
        if (group === undefined) {
            throw createError(ErrorKind.NotFound, `Endpoint ${endpointId} is not known.`, {
                remedy: "Wait until the endpoint registers itself.",
            });
        }
        const expiresAt = clock.now() + timeoutMilliseconds;
        const connection = await placement.acquire({
            group,
            endpointId,
            needsPrimary: false,
            priority: controlPriority,
            expiresAt,
            excluded: new Set(),
            values: new Map(),
        });
        try {
            const answers = await connection.exchange(statements, Math.max(expiresAt - clock.now(), 1));
            if (answers.at(-1)?.state === SessionState.Idle) {
                connection.release();
            }
            else {
                connection.discard();
            }
            return answers;
        }
        catch (error) {
            connection.discard();
            throw error;
        }
    }

    async function runFromAnyVm(command: EndpointCommand): Promise<readonly StatementAnswer[]> {
        const group = directory.endpoint(command.endpointId)?.group ?? "";
        const fromOthers = () => options.connectedVms(group).map(vm => options.peerOf(vm).command(command));
        return await run(command).catch(() => Promise.any(fromOthers()));
    }

    return { run, runFromAnyVm };
}
