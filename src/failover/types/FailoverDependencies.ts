import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { TermReservation } from "../../terms/types/TermReservation.js";
import type { Peers } from "../../transport/types/Peers.js";

/** Services that the failover service uses. */
export interface FailoverDependencies {
    readonly configuration: ConfigurationService;
    readonly membership: MembershipService;
    readonly dissemination: DisseminationService;
    readonly terms: TermReservation;
    readonly driver: EndpointDriver;
    readonly peers: Peers;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventRecorder;
    readonly logger: Logger;
}
