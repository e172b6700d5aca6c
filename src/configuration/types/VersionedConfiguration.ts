import type { SystemConfiguration } from "./SystemConfiguration.js";

/** A configuration with its version number. */
export interface VersionedConfiguration {
    readonly version: number;
    readonly content: SystemConfiguration;
}
