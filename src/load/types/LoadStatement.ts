import type { OperationKind } from "../../history/types/OperationKind.js";

/** A statement, independent of the format of the endpoints. */
export interface LoadStatement {
    readonly kind: OperationKind;
    readonly lists: readonly string[];
    readonly value?: string;
}
