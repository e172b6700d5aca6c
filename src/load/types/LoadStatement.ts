import type { OperationKind } from "../../history/types/OperationKind.js";

/** What one statement does, apart from how the endpoint wants it written. */
export interface LoadStatement {
    readonly kind: OperationKind;
    readonly lists: readonly string[];
    readonly value?: string;
}
