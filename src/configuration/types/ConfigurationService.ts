import type { VersionedConfiguration } from "./VersionedConfiguration.js";

/** The configuration in force in this process. */
export interface ConfigurationService {
    /** The version in force; its number never falls. */
    current(): VersionedConfiguration;
    /** Calls the listener after each new version came into force; returns a function that ends the subscription. */
    onChange(listener: (configuration: VersionedConfiguration) => void): () => void;
    start(): Promise<void>;
    stop(): Promise<void>;
}
