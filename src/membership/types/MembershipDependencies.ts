import type { Clock } from "../../clock/types/Clock.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { Peers } from "../../transport/types/Peers.js";

/** Services that the membership service uses. */
export interface MembershipDependencies {
    readonly peers: Peers;
    readonly platform: Pick<PlatformClient, "listVms">;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventRecorder;
    readonly logger: Logger;
}
