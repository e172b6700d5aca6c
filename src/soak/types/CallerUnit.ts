import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { CallerRead } from "./CallerRead.js";
import type { UnitOutcome } from "./UnitOutcome.js";

/** A single statement or a transaction, as its caller saw it. Times are on the soak's clock, in milliseconds. */
export interface CallerUnit {
    readonly session: string;
    /** Number of the VM that the caller was connected to. */
    readonly vm: number;
    readonly guarantee: ReadGuarantee;
    /** Before its first byte was sent. */
    readonly startedAt: number;
    /** When its last answer came, or the caller gave up. */
    readonly endedAt: number;
    readonly outcome: UnitOutcome;
    /** Ids of all its statements. */
    readonly ids: readonly string[];
    /** Ids of its writes. */
    readonly writeIds: readonly string[];
    readonly reads: readonly CallerRead[];
    /** Signatures that the answers carried, by the id of the statement. */
    readonly signatures: Readonly<Record<string, string>>;
    /** Longest time that one statement waited for its answer; infinite when none came. */
    readonly slowestMilliseconds: number;
}
