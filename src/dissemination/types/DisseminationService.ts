import type { DisseminatedRecord } from "./DisseminatedRecord.js";
import type { RecordKind } from "./RecordKind.js";

/** Distributes records to all gateways by pushes; comparisons of digests repair missed ones. Stores nothing durably. */
export interface DisseminationService {
    /** Applies a record and passes it on unless its stamp is not above the known one; returns whether it was new. */
    publish(record: DisseminatedRecord): boolean;
    get(kind: RecordKind, key: string): DisseminatedRecord | undefined;
    list(kind: RecordKind): readonly DisseminatedRecord[];
    onRecord(kind: RecordKind, listener: (record: DisseminatedRecord) => void): () => void;
    start(): Promise<void>;
    stop(): Promise<void>;
}
