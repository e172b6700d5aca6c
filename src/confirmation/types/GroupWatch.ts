import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";

/** Status watches on all endpoints of one group. */
export interface GroupWatch {
    statuses(): readonly EndpointStatus[];
    readonly endpointCount: number;
    stop(): Promise<void>;
}
