import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { CallerRead } from "./CallerRead.js";
import type { UnitOutcome } from "./UnitOutcome.js";

/** A single statement or a transaction, as recorded by its caller. Times are milliseconds on the clock of the run. */
export interface CallerUnit {
    readonly session: string;
    /** Workspace of the caller; left out without workspaces. */
    readonly workspace?: string;
    /** Number of the VM that the caller was connected to. */
    readonly vm: number;
    readonly guarantee: ReadGuarantee;
    /** When the unit started, before the first byte was sent. */
    readonly startedAt: number;
    /** When the last answer arrived, or the caller stopped waiting for it. */
    readonly endedAt: number;
    readonly outcome: UnitOutcome;
    /** Ids of all statements of the unit. */
    readonly ids: readonly string[];
    /** Ids of the writes among them. */
    readonly writeIds: readonly string[];
    readonly reads: readonly CallerRead[];
    /** Signatures in the answers, by statement id. */
    readonly signatures: Readonly<Record<string, string>>;
    /** Longest time between a statement and its answer; infinite if an answer did not arrive. */
    readonly slowestMilliseconds: number;
}
