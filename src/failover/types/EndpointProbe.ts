import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { EndpointObservation } from "./EndpointObservation.js";

/** Probes one endpoint at an interval over a dedicated control connection. */
export interface EndpointProbe {
    readonly definition: EndpointDefinition;
    observation(): EndpointObservation;
    /** Calls the endpoint over the open control connection, or over a fresh one that is closed afterwards. */
    withConnection<T>(call: (connection: EndpointConnection) => Promise<T>): Promise<T>;
    /** Probes immediately and resolves with the observation when the probe has finished. */
    refresh(): Promise<EndpointObservation>;
    setProbeInterval(milliseconds: number): void;
    stop(): Promise<void>;
}
