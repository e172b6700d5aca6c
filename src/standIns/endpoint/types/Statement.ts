import type { SimpleStatement } from "./SimpleStatement.js";
import type { StatementOperation } from "./StatementOperation.js";

/** A statement in the endpoint stand-in's statement language; opaque to the proxy. */
export type Statement =
    | SimpleStatement
    | {
        readonly operation: StatementOperation.Batch;
        readonly statements: readonly SimpleStatement[];
        /** Added to the time that the statement occupies its slot. */
        readonly workMilliseconds?: number;
    };
