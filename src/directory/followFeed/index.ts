import type { Clock } from "../../clock/types/Clock.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createBackoff } from "../../retries/createBackoff/index.js";
import { directoryConstants } from "../constants.js";
import type { Feed } from "../types/Feed.js";
import type { FeedUpdate } from "../types/FeedUpdate.js";
import type { StoreVersion } from "../types/StoreVersion.js";

/** Options of `followFeed`. */
interface FollowFeedOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Whether the feed has to be watched now; when left out, it always is. */
    readonly isNeeded?: () => boolean;
    /** Length of one watch, in milliseconds. */
    readonly watchMilliseconds: () => number;
    /** Ends the generator. */
    readonly signal: AbortSignal;
    /** Called after each failed call. */
    onFailure(error: Error): void;
    /** Called after each call whose answer brings this VM up to date. */
    onAnswer(): void;
    /** Called when the store was restored from a copy since its last answer. */
    onRestored(previous: StoreVersion, current: StoreVersion): void;
}

/**
 * Follows a feed: lists it, then watches it for changes, and lists it again when the store has dropped the history or was
 * restored from a copy.
 *
 * @param feed The feed.
 * @param options Clock, randomness of the backoff, signal that ends the generator, and listeners.
 * @returns Yields the changes; ends only with the signal.
 *
 * @example
 * for await (const update of followFeed(store.endpoints, options)) { directory.applyEndpoints(update); }
 */
export async function* followFeed<Item>(
    feed: Feed<Item>,
    options: FollowFeedOptions,
): AsyncGenerator<FeedUpdate<Item>> {
    const { clock, random, signal } = options;
    const createPauses = () =>
        createBackoff(random, {
            initialMilliseconds: directoryConstants.initialRetryMilliseconds,
            maximumMilliseconds: directoryConstants.maximumRetryMilliseconds,
        });
    let pauses = createPauses();
    let version: StoreVersion | undefined;
    let answeredVersion: StoreVersion | undefined;
    let hasFailed = false;

    /** Requests a prompt answer after a failure, since a long watch would notice a still unresponsive store late. */
    function waitMilliseconds(): number {
        return hasFailed ? directoryConstants.retryWatchMilliseconds : options.watchMilliseconds();
    }

    function reportRestore(current: StoreVersion | undefined): void {
        if (current !== undefined && answeredVersion !== undefined && current.era !== answeredVersion.era) {
            options.onRestored(answeredVersion, current);
        }
        answeredVersion = current ?? answeredVersion;
    }

    while (!signal.aborted) {
        if (version !== undefined && options.isNeeded?.() === false) {
            await clock.sleep(directoryConstants.watchPollingMilliseconds, signal);
            continue;
        }
        try {
            const isSnapshot = version === undefined;
            const batch = version === undefined
                ? await feed.list()
                : await feed.waitForChanges(version.revision, waitMilliseconds());
            hasFailed = false;
            pauses = createPauses();
            reportRestore(batch);
            // A revision of another era says nothing about the changes that this VM lacks.
            const isComplete = batch !== undefined && (version === undefined || batch.era === version.era);
            version = isComplete ? { era: batch.era, revision: batch.revision } : undefined;
            if (!isComplete) {
                continue;
            }
            options.onAnswer();
            if (isSnapshot || batch.changes.length > 0) {
                yield { isSnapshot, changes: batch.changes, version: { era: batch.era, revision: batch.revision } };
            }
        }
        catch (error) {
            options.onFailure(error as Error);
            hasFailed = true;
            const pause = pauses.next().value ?? directoryConstants.maximumRetryMilliseconds;
            await clock.sleep(directoryConstants.initialRetryMilliseconds / 2 + pause, signal);
        }
    }
}
