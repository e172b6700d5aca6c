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

/** State and services that the tasks of a gateway's configuration service use. */
export interface ConfigurationDependencies {
    readonly state: ConfigurationState;
    readonly store: ConfigurationStore;
    readonly membership: MembershipService;
    readonly dissemination: DisseminationService;
    readonly peers: Peers;
    /** Addresses of gateways to query in addition to the known peers. */
    readonly seedGateways: readonly Address[];
    readonly events: EventRecorder;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}
