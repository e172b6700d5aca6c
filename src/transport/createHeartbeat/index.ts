import { transportConstants } from "../constants.js";

/** Options of `createHeartbeat`. */
interface HeartbeatOptions {
    /** Whether an answer or an item is waited for on the connection. */
    readonly isExpecting: () => boolean;
    /** Sends a ping to the other side. */
    readonly ping: () => void;
    /** Called once when the other side has been silent for too long. */
    readonly onSilence: () => void;
}

/** Watches one connection for silence. */
interface Heartbeat {
    /** To be called for each frame received. */
    beat(): void;
    stop(): void;
}

/**
 * Creates the heartbeat of one connection: pings when nothing is heard, and reports a silence.
 *
 * While an answer is waited for, each silent interval is pinged and the fourth is reported. A connection that nobody
 * waits for is pinged a quarter as often, so that what idles costs little.
 *
 * @param options What is expected, what to send and what to call on silence.
 * @returns The heartbeat, already running.
 *
 * @example
 * const heartbeat = createHeartbeat({ isExpecting: () => pending.size > 0, ping: sendPing, onSilence: socket.close });
 */
export function createHeartbeat(options: HeartbeatOptions): Heartbeat {
    const { heartbeatMilliseconds, idleHeartbeatIntervals, unansweredPings } = transportConstants;
    let silentIntervals = 0;
    let unanswered = 0;

    function check(): void {
        silentIntervals += 1;
        const isDue = options.isExpecting() ? silentIntervals > 1 : silentIntervals % idleHeartbeatIntervals === 0;
        if (!isDue) {
            return;
        }
        if (unanswered === unansweredPings) {
            clearInterval(timer);
            options.onSilence();
            return;
        }
        unanswered += 1;
        options.ping();
    }

    const timer = setInterval(check, heartbeatMilliseconds);
    return {
        beat: () => {
            silentIntervals = 0;
            unanswered = 0;
        },
        stop: () => clearInterval(timer),
    };
}
