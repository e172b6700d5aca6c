import type { Clock } from "../../../clock/types/Clock.js";
import type { EndpointStatus } from "../../../endpoints/types/EndpointStatus.js";
import type { EndpointCounters } from "./EndpointCounters.js";
import type { EndpointLog } from "./EndpointLog.js";
import type { EndpointStandInSettings } from "./EndpointStandInSettings.js";
import type { ObservableSwitches } from "./ObservableSwitches.js";
import type { StatementRunner } from "./StatementRunner.js";
import type { TermState } from "./TermState.js";

/** The components of one endpoint stand-in that do not depend on connections. */
export interface EndpointCore {
    readonly settings: EndpointStandInSettings;
    readonly clock: Clock;
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly switches: ObservableSwitches;
    readonly counters: EndpointCounters;
    readonly runner: StatementRunner;
    readStatus(): EndpointStatus;
    /** Records contact with the primary. */
    recordPrimaryContact(): void;
    /** Counts a requested statement or transaction if the endpoint is leaving. */
    countNewWork(): void;
}
