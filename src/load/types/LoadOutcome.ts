import type { HistoryVerdict } from "../../history/types/HistoryVerdict.js";
import type { LoadRun } from "./LoadRun.js";
import type { LoadSummary } from "./LoadSummary.js";

/** A finished run with its figures and the verdict on its history. */
export interface LoadOutcome {
    readonly run: LoadRun;
    readonly summary: LoadSummary;
    readonly verdict: HistoryVerdict;
}
