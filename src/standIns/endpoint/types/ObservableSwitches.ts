import type { EndpointSwitches } from "./EndpointSwitches.js";

/** The switches of an endpoint stand-in, with notification of changes. */
export interface ObservableSwitches {
    readonly state: Readonly<EndpointSwitches>;
    set(changes: Partial<EndpointSwitches>): void;
    onChange(listener: () => void): () => void;
    /** Resolves as soon as the endpoint is not frozen. */
    waitWhileFrozen(): Promise<void>;
}
