import type { ConfigurationDocument } from "./ConfigurationDocument.js";
import type { ConfigurationService } from "./ConfigurationService.js";
import type { ConfigurationState } from "./ConfigurationState.js";
import type { ConfigurationStatus } from "./ConfigurationStatus.js";
import type { PatchAnswer } from "./PatchAnswer.js";
import type { PatchRequest } from "./PatchRequest.js";
import type { VersionRecord } from "./VersionRecord.js";

/** The configuration service of a gateway, which other processes and operators query. */
export interface GatewayConfiguration extends ConfigurationService {
    readonly state: ConfigurationState;
    submitPatch(request: PatchRequest): Promise<PatchAnswer>;
    /** The document of any version, from memory or from the store. */
    readDocument(version: number): Promise<ConfigurationDocument>;
    /** The records of the versions from `first` to `last`, from memory or from the store. */
    readRecords(first: number, last: number): Promise<readonly VersionRecord[]>;
    status(): ConfigurationStatus;
    /** Adds an entry that subscribes to updates; the returned function removes it unless it subscribed again. */
    attachEntry(process: string, version: number): () => void;
    /** Records the version in force in a subscribed entry. */
    recordEntryVersion(process: string, version: number): void;
}
