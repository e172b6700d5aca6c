import { decode, encode } from "@msgpack/msgpack";
import { setTimeout as sleep } from "node:timers/promises";
import type { WebSocket } from "ws";
import { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import { standInConstants } from "../../constants.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { ObservableSwitches } from "../types/ObservableSwitches.js";
import type { ReplicationFrame } from "../types/ReplicationFrame.js";
import { ReplicationFrameKind } from "../types/ReplicationFrameKind.js";
import type { TermState } from "../types/TermState.js";

/** Options of `serveReplica`. */
interface ServeReplicaOptions {
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly switches: ObservableSwitches;
}

/**
 * Sends the log to one replica until the connection is closed or the term ends.
 *
 * @param socket The replica's connection.
 * @param options Log, terms and switches of the primary.
 *
 * @example
 * void serveReplica(socket, { log, terms, switches });
 */
export async function serveReplica(socket: WebSocket, options: ServeReplicaOptions): Promise<void> {
    const { log, terms, switches } = options;
    const constants = standInConstants;
    let lagMilliseconds = 0;
    let wake = (): void => {};
    const subscriptions = [log.onChange(() => wake()), terms.onChange(() => wake())];

    function send(frame: ReplicationFrame): void {
        socket.send(encode(frame, { ignoreUndefined: true }));
    }

    function waitForChange(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, milliseconds);
            wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    const helloReceived = new Promise<Extract<ReplicationFrame, readonly [ReplicationFrameKind.Hello, ...unknown[]]>>(
        resolve => {
            socket.on("message", bytes => {
                const frame = decode(bytes as Buffer) as ReplicationFrame;
                if (frame[0] === ReplicationFrameKind.Lag) {
                    lagMilliseconds = frame[1];
                    wake();
                }
                else if (frame[0] === ReplicationFrameKind.Hello) {
                    resolve(frame);
                }
            });
        },
    );
    socket.once("close", () => wake());
    const helloFrame = await Promise.race([helloReceived, sleep(constants.replicationTimeoutMilliseconds)]);
    await switches.waitWhileFrozen();
    const term = helloFrame?.[2];
    const isServing = (): boolean =>
        socket.readyState === socket.OPEN && terms.role() === EndpointRole.Primary && terms.term() === term;
    if (helloFrame !== undefined && isServing()) {
        let sentPosition = log.commonPosition(helloFrame[3]);
        send([ReplicationFrameKind.Start, sentPosition, terms.startPosition()]);
        while (isServing()) {
            const dueBefore = Date.now() - lagMilliseconds;
            const unsentEntries = log.entriesAfter(sentPosition, constants.replicationBatchEntries);
            const dueEntries = unsentEntries.filter(entry => entry.writtenAt <= dueBefore);
            if (dueEntries.length > 0) {
                sentPosition += dueEntries.length;
                send([ReplicationFrameKind.Entries, dueEntries]);
                continue;
            }
            send([ReplicationFrameKind.Heartbeat]);
            const millisecondsUntilDue = unsentEntries[0] === undefined
                ? Infinity
                : unsentEntries[0].writtenAt - dueBefore;
            await waitForChange(Math.min(constants.replicationHeartbeatMilliseconds, millisecondsUntilDue));
            await switches.waitWhileFrozen();
        }
    }
    for (const unsubscribe of subscriptions) {
        unsubscribe();
    }
    socket.terminate();
}
