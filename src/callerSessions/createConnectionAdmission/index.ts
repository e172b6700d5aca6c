import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { callerSessionConstants } from "../constants.js";
import type { AdmittedConnection } from "../types/AdmittedConnection.js";
import type { ConnectionAdmission } from "../types/ConnectionAdmission.js";
import { ConnectionLoss } from "../types/ConnectionLoss.js";

/** Options of `createConnectionAdmission`. */
interface ConnectionAdmissionOptions {
    readonly maximumConnections: number;
    /** Time without a byte after which a session may give its place to a new connection, in milliseconds. */
    readonly idleMilliseconds: number;
    readonly clock: Pick<Clock, "now">;
    readonly metrics: Pick<Metrics, "countConnectionLoss">;
    readonly log: LogTopic;
}

/** An admitted connection. */
interface Place {
    readonly connection: Parameters<ConnectionAdmission["admit"]>[0];
    lastActivityAt: number;
}

/**
 * Creates the admission of connections by the descriptors that are left.
 *
 * Nothing is closed while there are places. Without one, a new connection takes the place of the connection that has
 * waited longest without opening its session, or else of the session that was idle longest, if for long enough and
 * outside of a statement or transaction. Otherwise it is refused.
 *
 * @param options Number of places, time, metrics and log.
 * @returns The admission, without connections.
 *
 * @example
 * const admission = createConnectionAdmission({ maximumConnections: 800, idleMilliseconds: 60_000, clock, metrics, log });
 */
export function createConnectionAdmission(options: ConnectionAdmissionOptions): ConnectionAdmission {
    const { maximumConnections, idleMilliseconds, clock, metrics, log } = options;
    /** Connections without a session, in the order in which they were accepted. */
    const unopened = new Set<Place>();
    /** Connections with a session, the one that was idle longest first. */
    const opened = new Set<Place>();
    let lossesSinceLog = 0;
    let loggedAt = -Infinity;

    function admit(connection: Place["connection"]): AdmittedConnection | undefined {
        if (unopened.size + opened.size >= maximumConnections && !freePlace()) {
            recordLoss(ConnectionLoss.Refused);
            return undefined;
        }
        const place: Place = { connection, lastActivityAt: clock.now() };
        unopened.add(place);
        return {
            recordOpened: () => {
                if (unopened.delete(place)) {
                    opened.add(place);
                }
            },
            recordActivity: () => {
                place.lastActivityAt = clock.now();
                if (opened.delete(place)) {
                    opened.add(place);
                }
            },
            release: () => release(place),
        };
    }

    function release(place: Place): void {
        unopened.delete(place);
        opened.delete(place);
    }

    function freePlace(): boolean {
        const [oldest] = unopened;
        if (oldest !== undefined) {
            close(oldest, ConnectionLoss.Unopened);
            return true;
        }
        const idle = findIdle();
        if (idle !== undefined) {
            close(idle, ConnectionLoss.Idle);
        }
        return idle !== undefined;
    }

    function findIdle(): Place | undefined {
        let lookedAt = 0;
        for (const place of opened) {
            lookedAt += 1;
            const isRecent = clock.now() - place.lastActivityAt < idleMilliseconds;
            if (isRecent || lookedAt > callerSessionConstants.maximumIdleLooks) {
                return undefined;
            }
            if (!place.connection.isBusy()) {
                return place;
            }
        }
        return undefined;
    }

    function close(place: Place, loss: ConnectionLoss): void {
        release(place);
        recordLoss(loss);
        place.connection.disconnect();
    }

    function recordLoss(loss: ConnectionLoss): void {
        metrics.countConnectionLoss(loss);
        lossesSinceLog += 1;
        if (clock.now() - loggedAt >= callerSessionConstants.lossLogMilliseconds) {
            log("connections refused or closed: no descriptors are left for more", {
                connections: lossesSinceLog,
                last: loss,
                maximumConnections,
            });
            lossesSinceLog = 0;
            loggedAt = clock.now();
        }
    }

    return { admit };
}
