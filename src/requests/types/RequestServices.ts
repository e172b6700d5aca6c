import type { Admission } from "../../admission/types/Admission.js";
import type { RetryBudget } from "../../admission/types/RetryBudget.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { Confirmation } from "../../confirmation/types/Confirmation.js";
import type { EndpointConnections } from "../../connections/types/EndpointConnections.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";

/** The services that the execution of requests and transactions uses. */
export interface RequestServices {
    readonly clock: Clock;
    readonly configuration: ConfigurationService;
    readonly topology: TopologyService;
    readonly admission: Admission;
    readonly connections: EndpointConnections;
    readonly confirmation: Confirmation;
    readonly retryBudget: RetryBudget;
    /** Whether the answer to a read at a primary is held back until its position is confirmed. */
    readonly confirmsPrimaryReads: boolean;
}
