import { decode, encode } from "@msgpack/msgpack";
import { setTimeout as sleep } from "node:timers/promises";
import { openFrameSocket } from "../../../network/openFrameSocket/index.js";
import type { Address } from "../../../network/types/Address.js";
import type { NetworkConditions } from "../../../network/types/NetworkConditions.js";
import { standInConstants } from "../../constants.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { ReplicationFrame } from "../types/ReplicationFrame.js";
import { ReplicationFrameKind } from "../types/ReplicationFrameKind.js";
import type { SwitchBoard } from "../types/SwitchBoard.js";
import type { TermState } from "../types/TermState.js";

/** What a replica works with. */
interface FollowPrimaryOptions {
    readonly endpoint: string;
    readonly peers: Readonly<Record<string, Address>>;
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly switches: SwitchBoard;
    readonly conditions: NetworkConditions;
    /** Called at each frame from the primary. */
    readonly onHeard: () => void;
}

/**
 * Copies the log of the primary that the endpoint was told to follow, until it is told otherwise.
 *
 * @param following What the endpoint was told, as held by the term state.
 * @param options Log, terms, switches and addresses.
 *
 * @example
 * void followPrimary(terms.following(), options);
 */
export async function followPrimary(
    following: NonNullable<ReturnType<TermState["following"]>>,
    options: FollowPrimaryOptions,
): Promise<void> {
    const { terms, switches } = options;
    const isCurrent = (): boolean => terms.following() === following && !switches.state.isKilled;
    while (isCurrent()) {
        if (!switches.state.isCutFromPeers) {
            await copyUntilClosed(following, isCurrent, options).catch(() => {});
        }
        await sleep(standInConstants.replicationRetryMilliseconds);
        await switches.waitUntilThawed();
    }
}

async function copyUntilClosed(
    following: NonNullable<ReturnType<TermState["following"]>>,
    isCurrent: () => boolean,
    options: FollowPrimaryOptions,
): Promise<void> {
    const { log, terms, switches, peers, conditions } = options;
    const address = peers[following.primary];
    if (address === undefined) {
        return;
    }
    const socket = await openFrameSocket(address, {
        conditions,
        timeoutMilliseconds: standInConstants.replicationConnectTimeoutMilliseconds,
        path: "/replication",
    });
    const send = (frame: ReplicationFrame): void => socket.send(encode(frame));
    let lastHeard = performance.now();
    let sentLag = 0;
    let isOver = false;
    const handlers: Partial<Record<ReplicationFrameKind, (frame: ReplicationFrame) => void>> = {
        [ReplicationFrameKind.Start]: frame => {
            const [, commonPosition, startPosition] = frame as Extract<
                ReplicationFrame,
                readonly [ReplicationFrameKind.Start, ...unknown[]]
            >;
            terms.synchronize(following, commonPosition, startPosition);
        },
        [ReplicationFrameKind.Entries]: frame => {
            const [, entries] = frame as Extract<
                ReplicationFrame,
                readonly [ReplicationFrameKind.Entries, ...unknown[]]
            >;
            terms.copyEntries(following, entries);
        },
    };

    function update(): void {
        if (!isCurrent() || switches.state.isCutFromPeers) {
            socket.close();
        }
        else if (sentLag !== switches.state.replicationLagMilliseconds) {
            sentLag = switches.state.replicationLagMilliseconds;
            send([ReplicationFrameKind.Lag, sentLag]);
        }
    }

    let arrival = Promise.resolve();
    socket.onFrame(bytes => {
        lastHeard = performance.now();
        arrival = arrival.then(() => switches.waitUntilThawed()).then(() => {
            const frame = decode(bytes) as ReplicationFrame;
            if (!isOver) {
                options.onHeard();
                handlers[frame[0]]?.(frame);
            }
        });
    });
    const watchdog = setInterval(() => {
        if (performance.now() - lastHeard > standInConstants.replicationSilenceMilliseconds) {
            socket.close();
        }
    }, standInConstants.replicationHeartbeatMilliseconds);
    const stops = [switches.onChange(update), terms.onChange(update)];
    update();
    send([ReplicationFrameKind.Hello, options.endpoint, following.term, log.termSpans()]);
    await socket.closed;
    isOver = true;
    clearInterval(watchdog);
    for (const stop of stops) {
        stop();
    }
}
