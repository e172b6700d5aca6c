import type { EndpointCore } from "./EndpointCore.js";

/** A running endpoint stand-in. */
export interface EndpointStandIn {
    readonly core: EndpointCore;
    /** The listening ports; valid once the stand-in has started. */
    port(): number;
    adminPort(): number;
    /** Makes the currently open connections unresponsive; later connections work. */
    silence(): void;
    start(): Promise<void>;
    stop(): Promise<void>;
}
