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
 * Creates the driver for the endpoints' wire format: one WebSocket per connection, with MessagePack frames.
 *
 * @param conditions Emulated network conditions of the connections.
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

        async function call<Answer>(kind: EndpointCallKind, content: unknown, timeout: number): Promise<Answer> {
            return await channel.call(kind, content, timeout) as Answer;
        }

        return {
            execute: statementCall =>
                call<StatementAnswer>(EndpointCallKind.Execute, statementCall, statementCall.timeoutMilliseconds),
            begin: beginCall => call<StatementAnswer>(EndpointCallKind.Begin, beginCall, beginCall.timeoutMilliseconds),
            commit: (requestKey, timeout) => call<StatementAnswer>(EndpointCallKind.Commit, { requestKey }, timeout),
            rollback: timeout => call<void>(EndpointCallKind.Rollback, undefined, timeout),
            reset: timeout => call<void>(EndpointCallKind.Reset, undefined, timeout),
            ping: timeout => call<void>(EndpointCallKind.Ping, undefined, timeout),
            readStatus: timeout => call<EndpointStatus>(EndpointCallKind.ReadStatus, undefined, timeout),
            watchStatus: signal => watchEndpointStatus(channel, signal),
            fence: (term, timeout) => call<FenceAnswer>(EndpointCallKind.Fence, { term }, timeout),
            promote: (term, timeout) => call<EndpointStatus>(EndpointCallKind.Promote, { term }, timeout),
            follow: (term, primary, timeout) => call<void>(EndpointCallKind.Follow, { term, primary }, timeout),
            writeMarker: (term, timeout) => call<StatementAnswer>(EndpointCallKind.WriteMarker, { term }, timeout),
            cancelRequestKey: (requestKey, term, timeout) =>
                call(EndpointCallKind.CancelRequestKey, { requestKey, term }, timeout),
            close: channel.close,
            closed: channel.closed,
        };
    }

    return { connect };
}
