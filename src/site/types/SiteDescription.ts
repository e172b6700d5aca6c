import type { EntryLimits } from "../../callers/types/EntryLimits.js";
import type { SystemLimits } from "../../configuration/types/SystemLimits.js";
import type { ReadPolicy } from "../../routing/types/ReadPolicy.js";

/** Topology, limits and delays of a site for tests or benchmarks. */
export interface SiteDescription {
    readonly seed: number;
    readonly regions: readonly SiteRegion[];
    /** One-way delay between availability zones of one region. */
    readonly zoneDelayMilliseconds: number;
    /** One-way delay between regions. */
    readonly regionDelayMilliseconds: number;
    /** One-way delay between callers and entries. */
    readonly callerDelayMilliseconds: number;
    /** Names of the databases; each has one endpoint in every availability zone. */
    readonly databases: readonly string[];
    readonly callers: readonly string[];
    /** Number of statements that an endpoint runs concurrently. */
    readonly slots: number;
    readonly connectionLimit: number;
    /** Time to open a connection to an endpoint. */
    readonly connectMilliseconds: number;
    /** Time that a statement occupies its slot. */
    readonly serviceMilliseconds: number;
    readonly limits?: Partial<SystemLimits>;
    readonly readPolicy?: ReadPolicy;
    readonly logTopics?: string;
    /** Limits of what callers may hold of an entry; the defaults when left out. */
    readonly entryLimits?: EntryLimits;
    /** Arguments of the runtime of every program. */
    readonly runtimeArguments?: readonly string[];
}

interface SiteRegion {
    readonly name: string;
    readonly availabilityZones: readonly { readonly name: string; readonly vmCount: number; }[];
}
