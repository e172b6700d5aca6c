import type { NetworkState } from "./NetworkState.js";
import type { PlatformCore } from "./PlatformCore.js";

/** A stand-in of the platform's service, with the emulated network that it publishes. */
export interface PlatformStandIn {
    readonly core: PlatformCore;
    readonly network: NetworkState;
    /** The listening ports; valid once the stand-in has started. */
    port(): number;
    adminPort(): number;
    networkPort(): number;
    start(): Promise<void>;
    stop(): Promise<void>;
}
