import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { openCallChannel } from "../openCallChannel/index.js";
import { EndpointCallKind } from "../types/EndpointCallKind.js";
import type { EndpointConnection } from "../types/EndpointConnection.js";
import type { EndpointDriver } from "../types/EndpointDriver.js";
import type { EndpointStatus } from "../types/EndpointStatus.js";
import type { FenceAnswer } from "../types/FenceAnswer.js";
import type { StatementAnswer } from "../types/StatementAnswer.js";
import { watchEndpointStatus } from "../watchEndpointStatus/index.js";

/**
 * Creates the driver that speaks the endpoints' wire format: one WebSocket a connection, MessagePack frames.
 *
 * @param conditions The emulated network.
 * @returns The driver.
 *
 * @example
 * const connection = await createEndpointDriver(conditions).connect("stock-1", address, 500);
 */
export function createEndpointDriver(conditions: NetworkConditions): EndpointDriver {
    async function connect(
        endpoint: string,
        address: Address,
        timeoutMilliseconds: number,
    ): Promise<EndpointConnection> {
        const channel = await openCallChannel(endpoint, { address, conditions, timeoutMilliseconds });

        async function call<Answer>(kind: EndpointCallKind, content: unknown, limit: number): Promise<Answer> {
            return await channel.call(kind, content, limit) as Answer;
        }

        return {
            execute: statementCall =>
                call<StatementAnswer>(EndpointCallKind.Execute, statementCall, statementCall.timeoutMilliseconds),
            begin: beginCall => call<StatementAnswer>(EndpointCallKind.Begin, beginCall, beginCall.timeoutMilliseconds),
            commit: (requestKey, limit) => call<StatementAnswer>(EndpointCallKind.Commit, { requestKey }, limit),
            rollback: limit => call<void>(EndpointCallKind.Rollback, undefined, limit),
            reset: limit => call<void>(EndpointCallKind.Reset, undefined, limit),
            ping: limit => call<void>(EndpointCallKind.Ping, undefined, limit),
            readStatus: limit => call<EndpointStatus>(EndpointCallKind.ReadStatus, undefined, limit),
            watchStatus: signal => watchEndpointStatus(channel, signal),
            fence: (term, limit) => call<FenceAnswer>(EndpointCallKind.Fence, { term }, limit),
            promote: (term, limit) => call<EndpointStatus>(EndpointCallKind.Promote, { term }, limit),
            follow: (term, primary, limit) => call<void>(EndpointCallKind.Follow, { term, primary }, limit),
            writeMarker: (term, limit) => call<StatementAnswer>(EndpointCallKind.WriteMarker, { term }, limit),
            cancelRequestKey: (requestKey, term, limit) =>
                call(EndpointCallKind.CancelRequestKey, { requestKey, term }, limit),
            close: channel.close,
            closed: channel.closed,
        };
    }

    return { connect };
}
