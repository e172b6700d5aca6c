import { createItemStream } from "../../streams/createItemStream/index.js";
import type { CallChannel } from "../types/CallChannel.js";
import { EndpointCallKind } from "../types/EndpointCallKind.js";
import type { EndpointStatus } from "../types/EndpointStatus.js";

/**
 * Yields an endpoint's status at once and after each change; only the latest one while the reader is busy.
 *
 * The leaving flag that comes with every answer is taken in as well.
 *
 * @param channel The connection to the endpoint.
 * @param signal Ends the watch.
 * @returns The statuses, until the signal is aborted.
 * @throws TarragonpostError of kind `ConnectionClosed` when the connection ends first.
 *
 * @example
 * for await (const status of watchEndpointStatus(channel, signal)) { learn(status); }
 */
export async function* watchEndpointStatus(channel: CallChannel, signal: AbortSignal): AsyncGenerator<EndpointStatus> {
    const stream = createItemStream<EndpointStatus>({ keepsOnlyLatest: true });
    let latest: EndpointStatus | undefined;

    function offer(status: EndpointStatus): void {
        latest = status;
        stream.put(status);
    }

    const end = channel.observe(EndpointCallKind.WatchStatus, undefined, {
        answer: content => offer(content as EndpointStatus),
        fail: stream.fail,
    });
    const stopLeaving = channel.onLeavingChange(() => {
        if (latest !== undefined && latest.isLeaving !== channel.isLeaving()) {
            offer({ ...latest, isLeaving: channel.isLeaving() });
        }
    });
    try {
        yield* stream.items(signal);
    }
    finally {
        stopLeaving();
        end();
    }
}
