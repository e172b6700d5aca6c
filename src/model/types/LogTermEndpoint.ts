import type { LogPosition } from "../../statements/types/LogPosition.js";

/** State of an endpoint in the model of logs of different terms. */
export interface LogTermEndpoint {
    /** End of its log. */
    readonly logEnd: LogPosition;
    readonly isRunning: boolean;
    /** Whether it runs again, with its log, if it does not run now. */
    readonly mayReturn: boolean;
}
