import type { AccessMode } from "./AccessMode.js";
import type { LogPosition } from "./LogPosition.js";
import type { OutgoingKind } from "./OutgoingKind.js";

/** A statement that is sent to an endpoint: a caller's, or one that the proxy issues itself. */
export type OutgoingStatement =
    | {
        readonly kind: OutgoingKind.Forwarded;
        /** Id that the caller gave the statement. */
        readonly id: string;
        /** Text of the statement, as the caller sent it. */
        readonly text: string;
        /** The endpoint refuses the statement unless its log has reached this position. */
        readonly leastPosition?: LogPosition;
    }
    | {
        readonly kind: OutgoingKind.ForwardedExecution;
        readonly id: string;
        /** Name of the prepared statement on this connection. */
        readonly name: string;
        readonly remainder: string;
        readonly leastPosition?: LogPosition;
    }
    | { readonly kind: OutgoingKind.Begin; readonly isReadOnly: boolean; readonly leastPosition?: LogPosition; }
    | { readonly kind: OutgoingKind.Rollback; }
    | { readonly kind: OutgoingKind.Discard; }
    | { readonly kind: OutgoingKind.ReadStatus; }
    | { readonly kind: OutgoingKind.SetValue; readonly name: string; readonly value: string; }
    | {
        readonly kind: OutgoingKind.Prepare;
        readonly name: string;
        readonly mode: AccessMode;
        readonly shape: string;
    }
    | { readonly kind: OutgoingKind.PauseReplication; readonly term: number; }
    | { readonly kind: OutgoingKind.StepDown; readonly term: number; }
    | { readonly kind: OutgoingKind.ResumeReplication; };
