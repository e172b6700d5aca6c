import type { Clock } from "../../clock/types/Clock.js";
import type { History } from "../../history/types/History.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { Balancer } from "./Balancer.js";
import type { CallerClient } from "./CallerClient.js";
import type { LoadPlan } from "./LoadPlan.js";
import type { LoadTarget } from "./LoadTarget.js";

/** Services that the sessions of one run share. */
export interface LoadServices {
    readonly client: CallerClient;
    readonly clock: Clock;
    readonly history: History;
    readonly plan: LoadPlan;
    readonly random: RandomSource;
    /** Prefix of the names of all lists and sessions, so that runs on one installation do not collide. */
    readonly runName: string;
    readonly target: LoadTarget;
    /** Selects the entries that are serving; all entries are used if undefined. */
    readonly balancer?: Balancer;
}
