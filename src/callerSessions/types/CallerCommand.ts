import type { Statement } from "../../statements/types/Statement.js";
import type { CallerCommandKind } from "./CallerCommandKind.js";

/** What a caller asks for. */
export type CallerCommand =
    | { readonly kind: CallerCommandKind.Open; readonly database: string; }
    | { readonly kind: CallerCommandKind.Run; readonly id: string; readonly statement: Statement; }
    | { readonly kind: CallerCommandKind.Leave; }
    | { readonly kind: CallerCommandKind.Unreadable; readonly reason: string; };
