import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { ProbeVerdict } from "./ProbeVerdict.js";

/** The last observation of one endpoint by a coordinator's probe. */
export interface EndpointObservation {
    readonly endpoint: string;
    readonly verdict: ProbeVerdict;
    /** The last status that was read, possibly outdated. */
    readonly status?: EndpointStatus;
    /** Monotonic time of that status in milliseconds. */
    readonly heardAt: number;
}
