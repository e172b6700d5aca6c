import type { VersionedConfiguration } from "./VersionedConfiguration.js";

/** The configuration in force in this process. */
export interface ConfigurationService {
    /** The version in force; its number never decreases. */
    current(): VersionedConfiguration;
    /** Calls the listener after a new version came into force; returns a function that removes the listener. */
    onChange(listener: (configuration: VersionedConfiguration) => void): () => void;
    start(): Promise<void>;
    stop(): Promise<void>;
}
