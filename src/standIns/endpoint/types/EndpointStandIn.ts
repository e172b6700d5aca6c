import type { EndpointCore } from "./EndpointCore.js";

/** A running endpoint stand-in. */
export interface EndpointStandIn {
    readonly core: EndpointCore;
    /** The ports it listens on, once started. */
    port(): number;
    adminPort(): number;
    /** Makes the connections open at this moment silent; later ones work. */
    silence(): void;
    start(): Promise<void>;
    stop(): Promise<void>;
}
