import type { Clock } from "../../clock/types/Clock.js";
import type { History } from "../../history/types/History.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { Balancer } from "./Balancer.js";
import type { CallerClient } from "./CallerClient.js";
import type { LoadPlan } from "./LoadPlan.js";
import type { LoadTarget } from "./LoadTarget.js";

/** What the sessions of one run share. */
export interface LoadServices {
    readonly client: CallerClient;
    readonly clock: Clock;
    readonly history: History;
    readonly plan: LoadPlan;
    readonly random: RandomSource;
    /** Begins the names of all lists and sessions, so that runs on one installation stay apart. */
    readonly runName: string;
    readonly target: LoadTarget;
    /** Keeps sessions away from entries that are stopping; all entries are used when left out. */
    readonly balancer?: Balancer;
}
