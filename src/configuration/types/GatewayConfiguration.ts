import type { ConfigurationDocument } from "./ConfigurationDocument.js";
import type { ConfigurationService } from "./ConfigurationService.js";
import type { ConfigurationState } from "./ConfigurationState.js";
import type { ConfigurationStatus } from "./ConfigurationStatus.js";
import type { PatchAnswer } from "./PatchAnswer.js";
import type { PatchRequest } from "./PatchRequest.js";
import type { VersionRecord } from "./VersionRecord.js";

/** The configuration service of a gateway, which other processes and operators ask. */
export interface GatewayConfiguration extends ConfigurationService {
    readonly state: ConfigurationState;
    submitPatch(request: PatchRequest): Promise<PatchAnswer>;
    /** The content of any version, from memory or from the store. */
    readDocument(version: number): Promise<ConfigurationDocument>;
    /** The records of the versions from `first` to `last`, from memory or from the store. */
    readRecords(first: number, last: number): Promise<readonly VersionRecord[]>;
    status(): ConfigurationStatus;
    /** Begins to feed an entry; the returned function ends it, unless the entry has connected again since. */
    attachEntry(process: string, version: number): () => void;
    /** Notes the version in force in an entry that this gateway feeds. */
    noteEntry(process: string, version: number): void;
}
