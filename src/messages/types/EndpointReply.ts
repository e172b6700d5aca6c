import type { NotRunReason } from "./NotRunReason.js";
import type { OutcomeKind } from "./OutcomeKind.js";

/** A gateway's reply to an `EndpointRequest` or to a statement of a transaction. */
export type EndpointReply =
    | {
        readonly outcome: OutcomeKind.Answer;
        readonly result?: unknown;
        readonly term: number;
        /** For a write, its own position; for a read, the position that the endpoint had applied. Confirmed. */
        readonly position: number;
        /** For a write, the replica whose position confirmed it. */
        readonly confirmedBy?: string;
        /** Requests waiting in the endpoint's queue, for load-aware routing. */
        readonly queueLength: number;
    }
    | {
        readonly outcome: OutcomeKind.NotRun;
        readonly reason: NotRunReason;
        readonly message: string;
        /** The highest term that the endpoint or gateway knows, when it is newer than that of the request. */
        readonly newerTerm?: number;
        /** The position that the endpoint had applied, when known. */
        readonly position?: number;
    }
    | {
        readonly outcome: OutcomeKind.OutcomeUnknown;
        readonly message: string;
    };
