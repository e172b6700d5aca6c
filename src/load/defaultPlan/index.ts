import type { LoadPlan } from "../types/LoadPlan.js";

/**
 * The load plan for options that are not given.
 *
 * @example
 * const plan: LoadPlan = { ...defaultPlan, sessionCount: 64 };
 */
export const defaultPlan: LoadPlan = {
    seed: 1,
    sessionCount: 24,
    durationMilliseconds: 10_000,
    writeShare: 0.1,
    transactionShare: 0.2,
    keylessShare: 0.1,
    agedShare: 0.1,
    maximumAgeMilliseconds: 2_000,
    lostTokenShare: 0.02,
    roamShare: 0.1,
    listCount: 40,
    deadlineMilliseconds: 2_000,
    pauseMilliseconds: 10,
    callerDelayMilliseconds: 0,
};
