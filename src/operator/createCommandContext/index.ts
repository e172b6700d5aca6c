import type { TRPCClient } from "@trpc/client";
import { randomBytes } from "node:crypto";
import { userInfo } from "node:os";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createPeers } from "../../transport/createPeers/index.js";
import { operatorConstants } from "../constants.js";
import type { CommandContext } from "../types/CommandContext.js";
import type { OperatorConnection } from "../types/OperatorConnection.js";
import type { OperatorRouter } from "../types/OperatorRouter.js";

/** Failures of the gateway, not of the call: the call is repeated at another gateway. */
const otherGatewayKinds: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.ConnectionClosed,
    ErrorKind.Stopping,
    ErrorKind.Unreachable,
]);

/**
 * Creates the context of a command: clients of the gateways and output.
 *
 * @param connection Addresses of the gateways, and the peer secret.
 * @param control Output and signals of the process.
 * @returns The context; connections are opened by the first call.
 *
 * @example
 * const context = createCommandContext(resolveConnection(options, process.env), control);
 */
export function createCommandContext(connection: OperatorConnection, control: ProcessControl): CommandContext {
    const clock = createSystemClock();
    const name = `operator-${userInfo().username}-${randomBytes(3).toString("hex")}`;
    const identity = { name, availabilityZone: "operator", peerSecret: connection.peerSecret };
    const peers = createPeers(identity, createUnemulatedNetwork("operator"), createEventRecorder(name, clock));

    async function callAnyGateway<T>(call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T> {
        const startedAt = clock.now();
        for (;;) {
            try {
                return await callEachGateway(call);
            }
            catch (error) {
                const isBeforeDeadline = clock.now() - startedAt < operatorConstants.reachabilityTimeoutMilliseconds;
                if (!isTypedError(error, ErrorKind.Unreachable) || !isBeforeDeadline) {
                    throw error;
                }
            }
            await clock.sleep(operatorConstants.pollingMilliseconds);
        }
    }

    async function callEachGateway<T>(call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T> {
        let failure: TypedError | undefined;
        for (const address of connection.gateways) {
            try {
                return await call(peers.clientOf<OperatorRouter>(address));
            }
            catch (error) {
                failure = toTypedError(error);
                if (!otherGatewayKinds.has(failure.kind)) {
                    throw failure;
                }
            }
        }
        throw failure ?? new Error("No gateway address is configured.");
    }

    return {
        control,
        clock,
        clientOf: address => peers.clientOf<OperatorRouter>(address),
        callAnyGateway,
        stop: peers.stop,
    };
}
