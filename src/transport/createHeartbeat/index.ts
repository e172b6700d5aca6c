import { transportConstants } from "../constants.js";

/** Options of `createHeartbeat`. */
interface HeartbeatOptions {
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
 * Creates the heartbeat of one connection: pings when nothing was heard for an interval, reports after three silent intervals.
 *
 * @param options What to send and what to call on silence.
 * @returns The heartbeat, already running.
 *
 * @example
 * const heartbeat = createHeartbeat({ ping: sendPing, onSilence: socket.close });
 */
export function createHeartbeat(options: HeartbeatOptions): Heartbeat {
    let silentIntervals = 0;
    const timer = setInterval(() => {
        silentIntervals += 1;
        if (silentIntervals > transportConstants.silentHeartbeats) {
            clearInterval(timer);
            options.onSilence();
            return;
        }
        // What was heard within the last interval shows as well as an answer that the other side lives.
        if (silentIntervals > 1) {
            options.ping();
        }
    }, transportConstants.heartbeatMilliseconds);
    return {
        beat: () => {
            silentIntervals = 0;
        },
        stop: () => clearInterval(timer),
    };
}
