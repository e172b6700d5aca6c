import type { NetworkState } from "./NetworkState.js";
import type { PlatformCore } from "./PlatformCore.js";

/** A platform stand-in. */
export interface PlatformStandIn {
    readonly core: PlatformCore;
    readonly network: NetworkState;
    /** The ports it listens on, once started. */
    port(): number;
    adminPort(): number;
    networkPort(): number;
    start(): Promise<void>;
    stop(): Promise<void>;
}
