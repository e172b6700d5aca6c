import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import type { EndpointObservation } from "./EndpointObservation.js";

/** Input of a coordinator's decision. */
export interface GroupView {
    readonly record: GroupRecord | undefined;
    readonly observations: readonly EndpointObservation[];
    readonly initialPrimary: string;
    /** Endpoints that must not become primary because they are leaving. */
    readonly leaving: ReadonlySet<string>;
    /** Time since the coordinator started to watch the group. */
    readonly watchedForMilliseconds: number;
    /** Time for which an endpoint has been observed fenced above the recorded term. */
    readonly fencedAheadForMilliseconds: number;
}
