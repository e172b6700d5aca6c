import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { FeedChange } from "../../directory/types/FeedChange.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";

/** The platform's store in a simulation, on the server's side. */
export interface SimulatedStore {
    /** While false, the store refuses all calls. */
    isAvailable: boolean;
    /** Names of the VMs whose calls the store refuses. */
    readonly refusedVms: Set<string>;
    /** Fails while the store refuses the VM's calls. */
    requireAvailable(vmName: string): void;
    version(): StoreVersion;
    listEndpoints(): readonly FeedChange<EndpointRecord>[];
    findEndpoint(id: string): EndpointRecord | undefined;
    listChangesAfter(revision: number): readonly FeedChange<EndpointRecord>[];
    /** Resolves with the first change after a revision, or when the time is over. */
    waitForChange(revision: number, milliseconds: number): Promise<void>;
    putEndpoint(record: Omit<EndpointRecord, keyof StoreVersion>): void;
    removeEndpoint(id: string): void;
    readRecord(name: string): VersionedRecord | undefined;
    /** Writes a record, when its revision is the expected one; undefined for a new record. */
    writeRecord(name: string, content: unknown, expectedRevision: number | undefined): VersionedRecord;
    /** Restores the store from a copy of this age: it loses all later changes, and begins a new era. */
    restoreCopy(ageMilliseconds: number): void;
}
