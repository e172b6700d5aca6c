import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { EndpointLease } from "../../placement/types/EndpointLease.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { callerSessionConstants } from "../constants.js";

/**
 * Rolls back the transaction on a connection and gives the connection back, or closes it when that fails; the endpoint
 * rolls back what was open on a closed connection.
 *
 * @param lease The connection.
 * @param log Writes a line when the rollback is not answered.
 *
 * @example
 * await endTransaction(lease, log);
 */
export async function endTransaction(lease: EndpointLease, log: LogTopic): Promise<void> {
    try {
        const [answer] = await lease.exchange(
            [{ kind: OutgoingKind.Rollback }],
            callerSessionConstants.rollbackMilliseconds,
        );
        if (answer?.state === SessionState.Idle) {
            lease.release();
            return;
        }
    }
    catch (error) {
        log("rollback was not answered", { endpoint: lease.endpoint.id, reason: (error as Error).message });
    }
    lease.discard();
}
