import type { AccessMode } from "./AccessMode.js";
import type { StatementKind } from "./StatementKind.js";

/** A statement of a caller: the fields needed to route and run it, and the text as it was sent. */
export type Statement =
    | { readonly kind: StatementKind.Begin; readonly text: string; readonly isReadOnly: boolean; }
    | { readonly kind: StatementKind.Commit | StatementKind.Rollback; readonly text: string; }
    | { readonly kind: StatementKind.Read | StatementKind.Write; readonly text: string; }
    | { readonly kind: StatementKind.SetValue; readonly text: string; readonly name: string; readonly value: string; }
    | {
        readonly kind: StatementKind.Prepare;
        readonly text: string;
        readonly name: string;
        readonly mode: AccessMode;
        readonly shape: string;
    }
    | {
        readonly kind: StatementKind.Execute;
        readonly text: string;
        readonly name: string;
        /** The text after the name: the item and, for a write, the data. */
        readonly remainder: string;
    }
    | { readonly kind: StatementKind.ClosePrepared; readonly text: string; readonly name: string; }
    | { readonly kind: StatementKind.Unreadable; readonly text: string; };
