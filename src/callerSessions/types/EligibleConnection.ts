import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";

/** An acquired connection that can serve a request. */
export interface EligibleConnection {
    readonly connection: AcquiredConnection;
    /** The log position that the endpoint has to hold; undefined at the primary. */
    readonly leastPosition: LogPosition | undefined;
    /** Whether a transaction is open on the connection, and the endpoint was verified or asked when it began. */
    readonly isInTransaction?: boolean;
}
