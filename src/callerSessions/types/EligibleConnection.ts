import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";

/** An acquired connection that can serve a request. */
export interface EligibleConnection {
    readonly connection: AcquiredConnection;
    /** The log position that the endpoint has to hold; undefined at the primary. */
    readonly leastPosition: LogPosition | undefined;
}
