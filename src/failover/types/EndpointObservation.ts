import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { ProbeVerdict } from "./ProbeVerdict.js";

/** What a coordinator last saw of one endpoint. */
export interface EndpointObservation {
    readonly endpoint: string;
    readonly verdict: ProbeVerdict;
    /** The last status that was read, possibly outdated. */
    readonly status?: EndpointStatus;
    /** Monotonic time of that status in milliseconds. */
    readonly heardAt: number;
}
