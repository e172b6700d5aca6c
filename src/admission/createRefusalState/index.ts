import type { Clock } from "../../clock/types/Clock.js";
import { admissionConstants } from "../constants.js";
import type { RefusalState } from "../types/RefusalState.js";

/**
 * Creates the decision whether statements that cannot be served in time are refused at once.
 *
 * Refusals begin when some statement has been expected to fail for `persistenceMilliseconds`, so that a short stall
 * refuses nobody, and end when for as long all have been expected to be served with a margin.
 *
 * @param clock Source of time.
 * @returns The state, not refusing.
 *
 * @example
 * refusals.review(expectedMilliseconds / timeLeftMilliseconds);
 * const isRefused = refusals.shouldRefuse(ratio);
 */
export function createRefusalState(clock: Clock): RefusalState {
    const { refusalRatio, admittingRatio, persistenceMilliseconds } = admissionConstants;
    let isRefusing = false;
    /** Since when the state is to change; undefined while nothing speaks for it. */
    let changeSince: number | undefined;

    function review(worstRatio: number): void {
        const speaksForChange = isRefusing ? worstRatio < admittingRatio : worstRatio > refusalRatio;
        if (!speaksForChange) {
            changeSince = undefined;
            return;
        }
        changeSince ??= clock.now();
        if (clock.now() - changeSince >= persistenceMilliseconds) {
            isRefusing = !isRefusing;
            changeSince = undefined;
        }
    }

    function shouldRefuse(ratio: number): boolean {
        if (!isRefusing || ratio <= refusalRatio) {
            return false;
        }
        changeSince = undefined;
        return true;
    }

    return { review, shouldRefuse, isRefusing: () => isRefusing };
}
