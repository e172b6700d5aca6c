import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { FeedChange } from "../../directory/types/FeedChange.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";

/** The platform's store in a simulation, on the server's side. */
export interface SimulatedStore {
    /** While false, the store refuses all calls. */
    isAvailable: boolean;
    /** Names of the VMs whose calls the store refuses. */
    readonly refusedVms: Set<string>;
    /** Fails while the store refuses the VM's calls. */
    requireAvailable(vmName: string): void;
    revision(): number;
    listEndpoints(): readonly FeedChange<EndpointRecord>[];
    listChangesAfter(revision: number): readonly FeedChange<EndpointRecord>[];
    /** Resolves with the first change after a revision, or when the time is over. */
    waitForChange(revision: number, milliseconds: number): Promise<void>;
    putEndpoint(record: Omit<EndpointRecord, "revision">): void;
    removeEndpoint(id: string): void;
    readRecord(name: string): VersionedRecord | undefined;
    /** Writes a record, when its revision is the expected one; undefined for a new record. */
    writeRecord(name: string, content: unknown, expectedRevision: number | undefined): VersionedRecord;
}
