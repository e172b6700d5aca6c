import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { ProbeVerdict } from "./ProbeVerdict.js";

/** Answer of a gateway to a request to probe an endpoint. */
export interface ProbeAnswer {
    readonly verdict: ProbeVerdict;
    readonly status?: EndpointStatus;
}
