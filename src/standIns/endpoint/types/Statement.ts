import type { SimpleStatement } from "./SimpleStatement.js";
import type { StatementOperation } from "./StatementOperation.js";

/** A statement of the endpoint stand-in's language; opaque to the proxy. */
export type Statement =
    | SimpleStatement
    | {
        readonly operation: StatementOperation.Batch;
        readonly statements: readonly SimpleStatement[];
        /** Lengthens the time that the statement holds its slot. */
        readonly workMilliseconds?: number;
    };
