import type { RecordKind } from "./RecordKind.js";

/** A hint passed between gateways; of two records of the same kind and key, the one with the higher stamp is kept. */
export interface DisseminatedRecord {
    readonly kind: RecordKind;
    readonly key: string;
    /** A number that only increases for the key: a term, a configuration version, an incarnation. */
    readonly stamp: number;
    readonly value: unknown;
}
