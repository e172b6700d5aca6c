import type { Clock } from "../../clock/types/Clock.js";
import type { Placement } from "../../placement/types/Placement.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createBackoff } from "../../retries/createBackoff/index.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { LoadOutcome } from "../types/LoadOutcome.js";
import type { OfferedLoad } from "../types/OfferedLoad.js";

/** Options of `offerLoad`. */
interface LoadOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly placement: Pick<Placement, "acquire">;
}

/** Time limit of one attempt, share of it that it may wait, and target latency of an operation. */
const attemptMilliseconds = 1_000;
const waitShare = 0.6;
const targetMilliseconds = 300;
const backoff = { initialMilliseconds: 100, maximumMilliseconds: 400, attempts: 2 };

/**
 * Plays callers that ask at random moments and retry a refused operation up to twice.
 *
 * @param options Clock, source of randomness and the host's placement.
 * @param load Rate, duration and kind of the operations.
 * @returns The outcome of each operation.
 *
 * @example
 * const outcomes = offerLoad(options, { owner: "clover", operationsPerSecond: 100, milliseconds: 2_000 });
 */
export async function offerLoad(options: LoadOptions, load: OfferedLoad): Promise<readonly LoadOutcome[]> {
    const { clock, random } = options;
    const endsAt = clock.now() + load.milliseconds;
    const operations: Promise<LoadOutcome>[] = [];
    while (clock.now() < endsAt) {
        operations.push(runOperation(options, load));
        await clock.sleep(-Math.log(1 - random.next()) * 1_000 / load.operationsPerSecond);
    }
    return await Promise.all(operations);
}

async function runOperation(options: LoadOptions, load: OfferedLoad): Promise<LoadOutcome> {
    const { clock, random } = options;
    const startedAt = clock.now();
    let longestRefusalMilliseconds = 0;
    let refusalCount = 0;
    let isServed = await attempt();
    for (const pause of createBackoff(random, backoff)) {
        if (isServed) {
            break;
        }
        await clock.sleep(pause);
        isServed = await attempt();
    }
    const isInTime = isServed && clock.now() - startedAt <= targetMilliseconds;
    return { startedAt, isInTime, isServed, longestRefusalMilliseconds, refusalCount };

    async function attempt(): Promise<boolean> {
        const attemptedAt = clock.now();
        try {
            await runAttempt(options, load, attemptedAt);
            return true;
        }
        catch {
            refusalCount += 1;
            longestRefusalMilliseconds = Math.max(longestRefusalMilliseconds, clock.now() - attemptedAt);
            return false;
        }
    }
}

async function runAttempt({ placement }: LoadOptions, load: OfferedLoad, attemptedAt: number): Promise<void> {
    const { owner, priority = 1, needsPrimary = true } = load;
    const connection = await placement.acquire({
        group: "orders",
        needsPrimary,
        owner,
        priority,
        expiresAt: attemptedAt + waitShare * attemptMilliseconds,
        targetAt: attemptedAt + targetMilliseconds,
        excluded: new Set(),
        values: new Map(),
    });
    await connection.exchange([{ kind: OutgoingKind.Rollback }], attemptMilliseconds);
    connection.release();
}
