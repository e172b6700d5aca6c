import type { StatementOperation } from "./StatementOperation.js";

/** A statement on one register or list. */
export type SimpleStatement =
    | { readonly operation: StatementOperation.Get; readonly register: string; readonly workMilliseconds?: number; }
    | {
        readonly operation: StatementOperation.Set;
        readonly register: string;
        readonly value?: unknown;
        readonly workMilliseconds?: number;
    }
    | {
        readonly operation: StatementOperation.Add;
        readonly register: string;
        readonly amount: number;
        readonly workMilliseconds?: number;
    }
    | {
        readonly operation: StatementOperation.Append;
        readonly list: string;
        readonly value?: unknown;
        readonly workMilliseconds?: number;
    }
    | { readonly operation: StatementOperation.ReadList; readonly list: string; readonly workMilliseconds?: number; };
