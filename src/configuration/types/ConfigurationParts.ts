import type { Clock } from "../../clock/types/Clock.js";
import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { Address } from "../../network/types/Address.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { ConfigurationState } from "./ConfigurationState.js";
import type { ConfigurationStore } from "./ConfigurationStore.js";

/** What the tasks of a gateway's configuration service work with. */
export interface ConfigurationParts {
    readonly state: ConfigurationState;
    readonly store: ConfigurationStore;
    readonly membership: MembershipService;
    readonly dissemination: DisseminationService;
    readonly peers: Peers;
    /** Gateways to ask while the membership knows none. */
    readonly seedGateways: readonly Address[];
    readonly events: EventRecorder;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}
