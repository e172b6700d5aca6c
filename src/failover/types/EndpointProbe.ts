import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { EndpointObservation } from "./EndpointObservation.js";

/** Watches one endpoint over a control connection of its own. */
export interface EndpointProbe {
    readonly definition: EndpointDefinition;
    observation(): EndpointObservation;
    /** Calls the endpoint over the open control connection, or over a fresh one that is closed afterwards. */
    use<T>(call: (connection: EndpointConnection) => Promise<T>): Promise<T>;
    /** Probes at once and resolves with what was found, when the probe has settled. */
    refresh(): Promise<EndpointObservation>;
    setInterval(milliseconds: number): void;
    stop(): Promise<void>;
}
