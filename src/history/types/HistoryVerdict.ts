import type { Violation } from "./Violation.js";
import type { ViolationKind } from "./ViolationKind.js";

/** Result of all checks of one history. */
export interface HistoryVerdict {
    readonly isSound: boolean;
    readonly operationCount: number;
    readonly acknowledgedWriteCount: number;
    readonly answeredReadCount: number;
    readonly unknownOutcomeCount: number;
    readonly countByKind: Readonly<Partial<Record<ViolationKind, number>>>;
    /** The first violations of each check, up to a limit. */
    readonly violations: readonly Violation[];
}
