import { StateRefusal } from "../../memory/types/StateRefusal.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { createFailure } from "../createFailure/index.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

const failures: Readonly<Record<StateRefusal, { readonly code: FailureCode; readonly description: string; }>> = {
    [StateRefusal.SessionFull]: {
        code: FailureCode.Malformed,
        description: "the values and prepared statements of this session are as large as allowed",
    },
    [StateRefusal.ProcessFull]: {
        code: FailureCode.Busy,
        description: "this VM has no memory left for values and prepared statements",
    },
};

/**
 * Creates the failure of a statement whose value or prepared statement may not be kept.
 *
 * @param refusal Why not.
 * @returns The outcome; the statement had no effect.
 *
 * @example
 * const outcome = createStateFailure(StateRefusal.SessionFull);
 */
export function createStateFailure(refusal: StateRefusal): StatementOutcome {
    const { code, description } = failures[refusal];
    return createFailure(code, description);
}
