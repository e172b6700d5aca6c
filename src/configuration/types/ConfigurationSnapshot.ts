import type { ConfigurationDocument } from "./ConfigurationDocument.js";

/** The whole document of one version. */
export interface ConfigurationSnapshot {
    readonly version: number;
    readonly document: ConfigurationDocument;
    readonly digest: string;
    /** The latest patch ids and their versions, oldest first. */
    readonly patchIds: readonly (readonly [patchId: string, version: number])[];
}
