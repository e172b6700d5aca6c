import { createItemStream } from "../../streams/createItemStream/index.js";
import type { CallChannel } from "../types/CallChannel.js";
import { EndpointCallKind } from "../types/EndpointCallKind.js";
import type { EndpointStatus } from "../types/EndpointStatus.js";

/**
 * Yields an endpoint's current status and then each change; only the latest status is kept while the reader is busy.
 *
 * A change of the leaving flag, which every answer carries, is yielded as well.
 *
 * @param channel The connection to the endpoint.
 * @param signal Ends the watch.
 * @returns The statuses, until the signal is aborted.
 * @throws TarragonpostError of kind `ConnectionClosed` when the connection ends first.
 *
 * @example
 * for await (const status of watchEndpointStatus(channel, signal)) { recordStatus(status); }
 */
export async function* watchEndpointStatus(channel: CallChannel, signal: AbortSignal): AsyncGenerator<EndpointStatus> {
    const stream = createItemStream<EndpointStatus>({ keepsOnlyLatest: true });
    let latest: EndpointStatus | undefined;

    function putStatus(status: EndpointStatus): void {
        latest = status;
        stream.put(status);
    }

    const stopObserving = channel.observe(EndpointCallKind.WatchStatus, undefined, {
        answer: content => putStatus(content as EndpointStatus),
        fail: stream.fail,
    });
    const stopListening = channel.onLeavingChange(() => {
        if (latest !== undefined && latest.isLeaving !== channel.isLeaving()) {
            putStatus({ ...latest, isLeaving: channel.isLeaving() });
        }
    });
    try {
        yield* stream.items(signal);
    }
    finally {
        stopListening();
        stopObserving();
    }
}
