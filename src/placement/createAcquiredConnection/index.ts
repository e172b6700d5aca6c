import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { PacedUse } from "../../pace/types/PacedUse.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";
import type { PooledSession } from "../types/PooledSession.js";

/** Options of `createAcquiredConnection`. */
interface AcquiredConnectionOptions {
    readonly clock: Clock;
    readonly endpoint: EndpointRecord;
    /** Local state of the endpoint, which the answers update. */
    readonly target: PlacementTarget;
    readonly pooled: PooledSession;
    /** The use of the endpoint, which the answers and the release end. */
    readonly use: PacedUse;
    /** Whether the endpoint is the known primary of its group. */
    readonly isPrimary: boolean;
    /** Called once with the time for which the connection was held, in milliseconds. */
    readonly onEnd: (heldMilliseconds: number) => void;
}

/**
 * Creates a connection that a request holds until it releases or discards it.
 *
 * @param options Clock, endpoint and pooled session.
 * @returns The connection, held.
 *
 * @example
 * const connection = createAcquiredConnection({ clock, endpoint, target, pooled, use, isPrimary: true, onEnd });
 */
export function createAcquiredConnection(options: AcquiredConnectionOptions): AcquiredConnection {
    const { clock, endpoint, target, pooled, use, isPrimary } = options;
    const acquiredAt = clock.now();
    let isHeld = true;

    function end(finish: () => void): void {
        if (isHeld) {
            isHeld = false;
            use.end();
            options.onEnd(clock.now() - acquiredAt);
            finish();
        }
    }

    return {
        endpoint,
        isPrimary,
        isProbe: use.isProbe,
        pooled,
        exchange: async (statements, timeoutMilliseconds) => {
            const sentAt = clock.now();
            const answers = await use.observe(
                statements,
                timeoutMilliseconds,
                limitMilliseconds => pooled.session.exchange(statements, limitMilliseconds),
            );
            target.lastContactAt = clock.now();
            if (answers.at(-1)?.failure === undefined) {
                target.latencyEstimate.recordLatency(target.lastContactAt - sentAt);
            }
            target.lagPauseMilliseconds = 0;
            return answers;
        },
        release: () => end(() => target.pool.release(pooled)),
        discard: () => end(() => pooled.session.close()),
    };
}
