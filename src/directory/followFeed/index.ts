import type { Clock } from "../../clock/types/Clock.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createBackoff } from "../../retries/createBackoff/index.js";
import { directoryConstants } from "../constants.js";
import type { Feed } from "../types/Feed.js";
import type { FeedUpdate } from "../types/FeedUpdate.js";

/** Options of `followFeed`. */
interface FollowFeedOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Whether changes have to be waited for now; when left out, always. */
    readonly isNeeded?: () => boolean;
    /** How long a wait for changes lasts, in milliseconds. */
    readonly watchMilliseconds?: () => number;
    /** Ends the generator. */
    readonly signal: AbortSignal;
    /** Told of each call that failed. */
    onFailure(error: Error): void;
    /** Told of each call that was answered. */
    onAnswer(): void;
}

/**
 * Follows a feed: lists it, then waits for changes, and lists it again when the store has lost the history in between.
 *
 * @param feed The feed.
 * @param options Clock, randomness of the pauses after failures, the signal that ends it, and whom to tell.
 * @returns Yields what changed; ends only with the signal.
 *
 * @example
 * for await (const update of followFeed(store.endpoints, options)) { directory.apply(update); }
 */
export async function* followFeed<Item>(
    feed: Feed<Item>,
    options: FollowFeedOptions,
): AsyncGenerator<FeedUpdate<Item>> {
    const { clock, random, signal } = options;
    const createPauses = () =>
        createBackoff(random, {
            initialMilliseconds: directoryConstants.firstRetryMilliseconds,
            maximumMilliseconds: directoryConstants.greatestRetryMilliseconds,
        });
    let pauses = createPauses();
    let revision: number | undefined;
    let hasFailed = false;

    /** After a failure the next call asks for a prompt answer: a long watch of a silent store would be noticed late. */
    function waitMilliseconds(): number {
        const { cautiousWatchMilliseconds, watchMilliseconds } = directoryConstants;
        return hasFailed ? cautiousWatchMilliseconds : options.watchMilliseconds?.() ?? watchMilliseconds;
    }

    while (!signal.aborted) {
        if (revision !== undefined && options.isNeeded?.() === false) {
            await clock.sleep(directoryConstants.watchCheckMilliseconds, signal);
            continue;
        }
        try {
            const isWhole = revision === undefined;
            const batch = revision === undefined
                ? await feed.list()
                : await feed.waitForChanges(revision, waitMilliseconds());
            options.onAnswer();
            hasFailed = false;
            pauses = createPauses();
            revision = batch?.revision;
            if (batch !== undefined && (isWhole || batch.changes.length > 0)) {
                yield { isWhole, changes: batch.changes, revision: batch.revision };
            }
        }
        catch (error) {
            options.onFailure(error as Error);
            hasFailed = true;
            const pause = pauses.next().value ?? directoryConstants.greatestRetryMilliseconds;
            await clock.sleep(directoryConstants.firstRetryMilliseconds / 2 + pause, signal);
        }
    }
}
