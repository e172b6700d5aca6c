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
import type { OperatorConnection } from "../types/OperatorConnection.js";
import type { OperatorRouter } from "../types/OperatorRouter.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/** Failures that say nothing about the question, so that another gateway is asked. */
const otherGatewayKinds: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.ConnectionClosed,
    ErrorKind.Stopping,
    ErrorKind.Unreachable,
]);

/**
 * Opens a session with the gateways.
 *
 * @param connection Which gateways, and the secret.
 * @param control The process to print on.
 * @returns The session; connections are opened by the first question.
 *
 * @example
 * const session = openSession(resolveConnection(options, process.env), control);
 */
export function openSession(connection: OperatorConnection, control: ProcessControl): OperatorSession {
    const clock = createSystemClock();
    const name = `operator-${userInfo().username}-${randomBytes(3).toString("hex")}`;
    const identity = { name, availabilityZone: "operator", peerSecret: connection.peerSecret };
    const peers = createPeers(identity, createUnemulatedNetwork("operator"), createEventRecorder(name, clock));

    async function askAny<T>(call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T> {
        const startedAt = clock.now();
        for (;;) {
            try {
                return await askEach(call);
            }
            catch (error) {
                const isPatient = clock.now() - startedAt < operatorConstants.reachTimeoutMilliseconds;
                if (!isTypedError(error, ErrorKind.Unreachable) || !isPatient) {
                    throw error;
                }
            }
            await clock.sleep(operatorConstants.waitPollMilliseconds);
        }
    }

    async function askEach<T>(call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T> {
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
        throw failure ?? new Error("No gateway is known.");
    }

    return { control, clock, clientOf: address => peers.clientOf<OperatorRouter>(address), askAny, stop: peers.stop };
}
