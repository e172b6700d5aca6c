import type { Clock } from "../../../clock/types/Clock.js";
import type { EndpointStatus } from "../../../endpoints/types/EndpointStatus.js";
import type { EndpointCounters } from "./EndpointCounters.js";
import type { EndpointLog } from "./EndpointLog.js";
import type { EndpointStandInSettings } from "./EndpointStandInSettings.js";
import type { StatementRunner } from "./StatementRunner.js";
import type { SwitchBoard } from "./SwitchBoard.js";
import type { TermState } from "./TermState.js";

/** The parts of one endpoint stand-in. */
export interface EndpointCore {
    readonly settings: EndpointStandInSettings;
    readonly clock: Clock;
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly switches: SwitchBoard;
    readonly counters: EndpointCounters;
    readonly runner: StatementRunner;
    readStatus(): EndpointStatus;
    /** Notes that the primary was heard from. */
    hearPrimary(): void;
    /** Counts work begun on request, and separately while leaving. */
    countNewWork(): void;
}
