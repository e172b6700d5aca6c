import { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { loadConstants } from "../constants.js";
import { defaultPlan } from "../defaultPlan/index.js";
import type { LoadPlan } from "../types/LoadPlan.js";

const share = z.number().min(0).max(1).optional();
const milliseconds = z.number().min(0).optional();
const optionsSchema = z.object({
    seed: z.number().int().min(0).optional(),
    sessions: z.number().int().min(1).optional(),
    seconds: z.number().min(0.1).optional(),
    writeShare: share,
    transactionShare: share,
    keylessShare: share,
    agedShare: share,
    age: milliseconds,
    lostTokenShare: share,
    roamShare: share,
    lists: z.number().int().min(1).optional(),
    deadline: milliseconds,
    pause: milliseconds,
});

/**
 * Reads the load plan from the command line options; omitted options come from the default plan.
 *
 * @param options The parsed command line options.
 * @returns The plan.
 * @throws TarragonpostError of kind `InvalidSettings` when an option is out of its range.
 *
 * @example
 * const plan = readPlan({ sessions: 64, seconds: 20 });
 */
export function readPlan(options: Readonly<Record<string, unknown>>): LoadPlan {
    const parsed = optionsSchema.safeParse(options);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        throw createError(ErrorKind.InvalidSettings, `Option --${issue?.path.join(".")}: ${issue?.message}.`, {
            remedy: "See --help for the options and their units.",
        });
    }
    const { sessions, seconds, age, lists, deadline, pause, ...others } = parsed.data;
    const given: Partial<LoadPlan> = {
        ...others,
        sessionCount: sessions,
        durationMilliseconds: seconds === undefined ? undefined : seconds * loadConstants.millisecondsPerSecond,
        maximumAgeMilliseconds: age,
        listCount: lists,
        deadlineMilliseconds: deadline,
        pauseMilliseconds: pause,
    };
    const entries = Object.entries(given).filter(([, value]) => value !== undefined);
    return { ...defaultPlan, ...Object.fromEntries(entries) };
}
