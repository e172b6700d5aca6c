import type { ProcessVersion } from "./ProcessVersion.js";

/** State of the configuration in one gateway. */
export interface ConfigurationStatus extends ProcessVersion {
    /** The highest version known to exist, in force in this gateway or not. */
    readonly highestHeard: number;
    /** False until the gateway has loaded a configuration. */
    readonly isLoaded: boolean;
    readonly isRelay: boolean;
    /** The entries subscribed to the updates of this gateway. */
    readonly entries: readonly ProcessVersion[];
}
