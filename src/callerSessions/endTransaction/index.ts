import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { callerSessionConstants } from "../constants.js";

/**
 * Rolls back the transaction on a connection and releases the connection, or closes it when the rollback fails; the
 * endpoint rolls back an open transaction when its connection is closed.
 *
 * @param connection The connection.
 * @param log Receives a line when the rollback is not answered.
 *
 * @example
 * await endTransaction(connection, log);
 */
export async function endTransaction(connection: AcquiredConnection, log: LogTopic): Promise<void> {
    try {
        const [answer] = await connection.exchange(
            [{ kind: OutgoingKind.Rollback }],
            callerSessionConstants.rollbackTimeoutMilliseconds,
        );
        if (answer?.state === SessionState.Idle) {
            connection.release();
            return;
        }
    }
    catch (error) {
        log("rollback was not answered; the connection is closed", {
            endpoint: connection.endpoint.id,
            reason: (error as Error).message,
        });
    }
    connection.discard();
}
