import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";

/** Status watches on all endpoints of one group. */
export interface GroupWatch {
    statuses(): readonly EndpointStatus[];
    /** Requests a new status over the connection of the endpoint's watch; fails with the errors of that connection. */
    readStatus(endpoint: string): Promise<EndpointStatus>;
    readonly endpointCount: number;
    stop(): Promise<void>;
}
