import type { RecordKind } from "./RecordKind.js";

/** A hint passed between gateways; of two records with the same kind and key the higher stamp wins. */
export interface DisseminatedRecord {
    readonly kind: RecordKind;
    readonly key: string;
    /** A number that only grows for the key: a term, a configuration version, an incarnation. */
    readonly stamp: number;
    readonly value: unknown;
}
