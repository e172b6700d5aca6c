import type { Statement } from "../../statements/types/Statement.js";
import type { CallerCommandKind } from "./CallerCommandKind.js";
import type { SessionOpening } from "./SessionOpening.js";

/** A command that a caller sends. */
export type CallerCommand =
    | { readonly kind: CallerCommandKind.Open; } & SessionOpening
    | { readonly kind: CallerCommandKind.Run; readonly id: string; readonly statement: Statement; }
    | { readonly kind: CallerCommandKind.Close; }
    | { readonly kind: CallerCommandKind.Unreadable; readonly reason: string; }
    | { readonly kind: CallerCommandKind.Discarded; };
