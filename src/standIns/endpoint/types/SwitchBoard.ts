import type { EndpointSwitches } from "./EndpointSwitches.js";

/** The switches with their subscribers. */
export interface SwitchBoard {
    readonly state: Readonly<EndpointSwitches>;
    set(changes: Partial<EndpointSwitches>): void;
    onChange(listener: () => void): () => void;
    /** Resolves at once, or when the endpoint is no longer frozen. */
    waitUntilThawed(): Promise<void>;
}
