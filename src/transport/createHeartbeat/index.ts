import { createSharedInterval } from "../../clock/createSharedInterval/index.js";
import { transportConstants } from "../constants.js";

/** All connections of a process are checked together: a large fleet has many, and each wake-up costs time. */
const addIntervalListener = createSharedInterval(transportConstants.heartbeatIntervalMilliseconds);

/** Options of `createHeartbeat`. */
interface HeartbeatOptions {
    /** Returns whether a call or subscription is pending on the connection. */
    readonly hasPendingCalls: () => boolean;
    /** Sends a ping to the other side. */
    readonly ping: () => void;
    /** Called once when the other side is unresponsive. */
    readonly onUnresponsive: () => void;
}

/** Detects an unresponsive peer on one connection. */
interface Heartbeat {
    /** Records that a frame was received. */
    recordFrame(): void;
    stop(): void;
}

/**
 * Creates the heartbeat of one connection: pings when no frame arrives, and reports an unresponsive peer.
 *
 * While a call is pending, a ping is sent in the second and the third interval without a frame, and the fourth is
 * reported. Without pending calls only every fourth interval counts, to keep the cost of idle connections low.
 *
 * @param options Whether a call is pending, how to send a ping, and the callback for an unresponsive peer.
 * @returns The heartbeat, already running.
 *
 * @example
 * const hasPendingCalls = () => pending.size > 0;
 * const heartbeat = createHeartbeat({ hasPendingCalls, ping: sendPing, onUnresponsive: socket.close });
 */
export function createHeartbeat(options: HeartbeatOptions): Heartbeat {
    const {
        intervalsBetweenIdlePings,
        maximumUnansweredPings,
    } = transportConstants;
    let silentIntervals = 0;
    let unansweredCount = 0;

    function checkSilence(): void {
        silentIntervals += 1;
        const isDue = options.hasPendingCalls()
            ? silentIntervals > 1
            : silentIntervals % intervalsBetweenIdlePings === 0;
        if (!isDue) {
            return;
        }
        if (unansweredCount === maximumUnansweredPings) {
            stop();
            options.onUnresponsive();
            return;
        }
        unansweredCount += 1;
        options.ping();
    }

    const stop = addIntervalListener(checkSilence);
    return {
        recordFrame: () => {
            silentIntervals = 0;
            unansweredCount = 0;
        },
        stop,
    };
}
