import { decode, encode } from "@msgpack/msgpack";
import { setTimeout as sleep } from "node:timers/promises";
import type { WebSocket } from "ws";
import { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import { standInConstants } from "../../constants.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { ReplicationFrame } from "../types/ReplicationFrame.js";
import { ReplicationFrameKind } from "../types/ReplicationFrameKind.js";
import type { SwitchBoard } from "../types/SwitchBoard.js";
import type { TermState } from "../types/TermState.js";

/** What a replica is served from. */
interface ServeReplicaOptions {
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly switches: SwitchBoard;
}

/**
 * Ships the log to one replica until the connection or the term is over.
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
    const stops = [log.onChange(() => wake()), terms.onChange(() => wake())];

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

    const hello = new Promise<Extract<ReplicationFrame, readonly [ReplicationFrameKind.Hello, ...unknown[]]>>(
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
    const greeting = await Promise.race([hello, sleep(constants.replicationSilenceMilliseconds)]);
    await switches.waitUntilThawed();
    const term = greeting?.[2];
    const isServing = (): boolean =>
        socket.readyState === socket.OPEN && terms.role() === EndpointRole.Primary && terms.term() === term;
    if (greeting !== undefined && isServing()) {
        let shipped = log.commonPosition(greeting[3]);
        send([ReplicationFrameKind.Start, shipped, terms.startPosition()]);
        while (isServing()) {
            const dueBefore = Date.now() - lagMilliseconds;
            const waiting = log.entriesAfter(shipped, constants.replicationBatchEntries);
            const due = waiting.filter(entry => entry.writtenAt <= dueBefore);
            if (due.length > 0) {
                shipped += due.length;
                send([ReplicationFrameKind.Entries, due]);
                continue;
            }
            send([ReplicationFrameKind.Heartbeat]);
            const untilDue = waiting[0] === undefined ? Infinity : waiting[0].writtenAt - dueBefore;
            await waitForChange(Math.min(constants.replicationHeartbeatMilliseconds, untilDue));
            await switches.waitUntilThawed();
        }
    }
    for (const stop of stops) {
        stop();
    }
    socket.terminate();
}
