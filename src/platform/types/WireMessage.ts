import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import type { WireMessageKind } from "./WireMessageKind.js";

/** A decoded message of the wire protocol. */
export type WireMessage =
    | { readonly kind: WireMessageKind.Startup; readonly database: string; readonly user: string; }
    | { readonly kind: WireMessageKind.Query; readonly id: string; readonly text: string; }
    | { readonly kind: WireMessageKind.Row; readonly text: string; }
    | { readonly kind: WireMessageKind.Complete; readonly signature: string; }
    | { readonly kind: WireMessageKind.Error; readonly failure: StatementFailure; }
    | { readonly kind: WireMessageKind.Ready; readonly state: SessionState; readonly position?: LogPosition; }
    | { readonly kind: WireMessageKind.Terminate; }
    | { readonly kind: WireMessageKind.Unreadable; readonly line: string; };
