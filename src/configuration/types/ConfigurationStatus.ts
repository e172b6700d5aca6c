import type { ProcessVersion } from "./ProcessVersion.js";

/** The configuration as one gateway has it. */
export interface ConfigurationStatus extends ProcessVersion {
    readonly highestHeard: number;
    /** False while the gateway has found no configuration yet. */
    readonly isLoaded: boolean;
    readonly isRelay: boolean;
    /** The entries that this gateway feeds. */
    readonly entries: readonly ProcessVersion[];
}
