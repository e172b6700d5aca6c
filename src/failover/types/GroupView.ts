import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import type { EndpointObservation } from "./EndpointObservation.js";

/** All that a coordinator's decision depends on. */
export interface GroupView {
    readonly record: GroupRecord | undefined;
    readonly observations: readonly EndpointObservation[];
    readonly initialPrimary: string;
    /** Endpoints that shall not be primary, since they are leaving. */
    readonly leaving: ReadonlySet<string>;
    /** Time since the coordinator started to watch the group. */
    readonly watchedForMilliseconds: number;
    /** Time for which an endpoint has been seen fenced above the recorded term. */
    readonly strandedForMilliseconds: number;
}
