import type { DisseminatedRecord } from "./DisseminatedRecord.js";
import type { RecordKind } from "./RecordKind.js";

/** Spreads records over all gateways: pushed at once, repaired by comparing digests. Keeps nothing durable. */
export interface DisseminationService {
    /** Takes in a record and passes it on, unless a stamp as high is known; returns whether it was new. */
    publish(record: DisseminatedRecord): boolean;
    get(kind: RecordKind, key: string): DisseminatedRecord | undefined;
    list(kind: RecordKind): readonly DisseminatedRecord[];
    onRecord(kind: RecordKind, listener: (record: DisseminatedRecord) => void): () => void;
    start(): Promise<void>;
    stop(): Promise<void>;
}
