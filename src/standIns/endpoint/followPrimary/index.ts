import { decode, encode } from "@msgpack/msgpack";
import { setTimeout as sleep } from "node:timers/promises";
import { openFrameSocket } from "../../../network/openFrameSocket/index.js";
import type { Address } from "../../../network/types/Address.js";
import type { NetworkConditions } from "../../../network/types/NetworkConditions.js";
import { standInConstants } from "../../constants.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { ObservableSwitches } from "../types/ObservableSwitches.js";
import type { ReplicationFrame } from "../types/ReplicationFrame.js";
import { ReplicationFrameKind } from "../types/ReplicationFrameKind.js";
import type { TermState } from "../types/TermState.js";

/** Options of `followPrimary`. */
interface FollowPrimaryOptions {
    readonly endpoint: string;
    readonly peers: Readonly<Record<string, Address>>;
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly switches: ObservableSwitches;
    readonly conditions: NetworkConditions;
    /** Called for each frame from the primary. */
    readonly onPrimaryContact: () => void;
}

/**
 * Copies the log of the primary that the endpoint follows, until the follow target changes or the endpoint is killed.
 *
 * @param followTarget The follow target, as the term state returns it.
 * @param options Log, terms, switches and addresses.
 *
 * @example
 * void followPrimary(terms.followTarget(), options);
 */
export async function followPrimary(
    followTarget: NonNullable<ReturnType<TermState["followTarget"]>>,
    options: FollowPrimaryOptions,
): Promise<void> {
    const { terms, switches } = options;
    const isCurrent = (): boolean => terms.followTarget() === followTarget && !switches.state.isKilled;
    while (isCurrent()) {
        if (!switches.state.isCutFromPeers) {
            await copyUntilClosed(followTarget, isCurrent, options).catch(() => {});
        }
        await sleep(standInConstants.replicationRetryMilliseconds);
        await switches.waitWhileFrozen();
    }
}

async function copyUntilClosed(
    followTarget: NonNullable<ReturnType<TermState["followTarget"]>>,
    isCurrent: () => boolean,
    options: FollowPrimaryOptions,
): Promise<void> {
    const { log, terms, switches, peers, conditions } = options;
    const address = peers[followTarget.primary];
    if (address === undefined) {
        return;
    }
    const socket = await openFrameSocket(address, {
        conditions,
        timeoutMilliseconds: standInConstants.replicationConnectTimeoutMilliseconds,
        path: "/replication",
    });
    const send = (frame: ReplicationFrame): void => socket.send(encode(frame));
    let lastFrameAt = performance.now();
    let sentLagMilliseconds = 0;
    let isClosed = false;
    const handlers: Partial<Record<ReplicationFrameKind, (frame: ReplicationFrame) => void>> = {
        [ReplicationFrameKind.Start]: frame => {
            const [, commonPosition, startPosition] = frame as Extract<
                ReplicationFrame,
                readonly [ReplicationFrameKind.Start, ...unknown[]]
            >;
            terms.synchronize(followTarget, commonPosition, startPosition);
        },
        [ReplicationFrameKind.Entries]: frame => {
            const [, entries] = frame as Extract<
                ReplicationFrame,
                readonly [ReplicationFrameKind.Entries, ...unknown[]]
            >;
            terms.copyEntries(followTarget, entries);
        },
    };

    function applyChanges(): void {
        if (!isCurrent() || switches.state.isCutFromPeers) {
            socket.close();
        }
        else if (sentLagMilliseconds !== switches.state.replicationLagMilliseconds) {
            sentLagMilliseconds = switches.state.replicationLagMilliseconds;
            send([ReplicationFrameKind.Lag, sentLagMilliseconds]);
        }
    }

    let frameProcessing = Promise.resolve();
    socket.onFrame(bytes => {
        lastFrameAt = performance.now();
        frameProcessing = frameProcessing.then(() => switches.waitWhileFrozen()).then(() => {
            const frame = decode(bytes) as ReplicationFrame;
            if (!isClosed) {
                options.onPrimaryContact();
                handlers[frame[0]]?.(frame);
            }
        });
    });
    const watchdog = setInterval(() => {
        if (performance.now() - lastFrameAt > standInConstants.replicationTimeoutMilliseconds) {
            socket.close();
        }
    }, standInConstants.replicationHeartbeatMilliseconds);
    const subscriptions = [switches.onChange(applyChanges), terms.onChange(applyChanges)];
    applyChanges();
    send([ReplicationFrameKind.Hello, options.endpoint, followTarget.term, log.termSpans()]);
    await socket.closed;
    isClosed = true;
    clearInterval(watchdog);
    for (const unsubscribe of subscriptions) {
        unsubscribe();
    }
}
