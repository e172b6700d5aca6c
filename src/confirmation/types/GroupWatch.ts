import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";

/** Status watches on all endpoints of one group. */
export interface GroupWatch {
    statuses(): readonly EndpointStatus[];
    /** Asks an endpoint anew, over the connection of its watch; fails as the connection does. */
    readStatus(endpoint: string): Promise<EndpointStatus>;
    readonly endpointCount: number;
    stop(): Promise<void>;
}
