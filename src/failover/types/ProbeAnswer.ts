import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { ProbeVerdict } from "./ProbeVerdict.js";

/** What a gateway answers when it was asked to probe an endpoint. */
export interface ProbeAnswer {
    readonly verdict: ProbeVerdict;
    readonly status?: EndpointStatus;
}
