import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { followFeed } from "../followFeed/index.js";
import type { Directory } from "../types/Directory.js";
import type { Feed } from "../types/Feed.js";
import type { FeedUpdate } from "../types/FeedUpdate.js";
import type { PlatformStore } from "../types/PlatformStore.js";
import type { StoreFreshness } from "../types/StoreFreshness.js";
import type { WatchPolicy } from "../types/WatchPolicy.js";

/** Options of `createDirectoryFollower`. */
interface DirectoryFollowerOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly store: Pick<PlatformStore, "endpoints" | "routingTables">;
    readonly directory: Directory;
    /** Decides whether and for how long this VM watches the store. */
    readonly policy: WatchPolicy;
    /** Records each answer of the store. */
    readonly freshness: Pick<StoreFreshness, "recordAnswer">;
    readonly metrics: Pick<Metrics, "countStoreFailure" | "countStoreRestore">;
    readonly log: LogTopic;
}

/** Keeps the directory up to date with the platform's store. */
interface DirectoryFollower {
    start(): Promise<void>;
    stop(): Promise<void>;
}

const maximumLoggedNames = 5;

/**
 * Creates the tasks that keep the directory up to date with the platform's store.
 *
 * @param options Clock, randomness, store, directory, watch policy, freshness, metrics and log.
 * @returns The tasks, not yet started.
 *
 * @example
 * await createDirectoryFollower({ clock, random, store, directory, ...others }).start();
 */
export function createDirectoryFollower(options: DirectoryFollowerOptions): DirectoryFollower {
    const { clock, random, store, directory, policy: watchPolicy, log } = options;
    const end = new AbortController();
    let wasWatching = true;

    async function follow<Item>(
        name: string,
        feed: Feed<Item>,
        apply: (update: FeedUpdate<Item>) => void,
    ): Promise<void> {
        let isReachable = true;
        const updates = followFeed(feed, {
            clock,
            random,
            signal: end.signal,
            isNeeded: isWatching,
            watchMilliseconds: watchPolicy.watchMilliseconds,
            onFailure: error => {
                options.metrics.countStoreFailure();
                if (isReachable) {
                    log("platform's store is unreachable", { feed: name, reason: error.message });
                }
                isReachable = false;
            },
            onAnswer: () => {
                options.freshness.recordAnswer(name);
                if (!isReachable) {
                    log("platform's store is reachable again", { feed: name });
                }
                isReachable = true;
            },
            onRestored: (previous, { era, revision }) => {
                options.metrics.countStoreRestore();
                log("platform's store was restored from a copy", {
                    feed: name,
                    era,
                    revision,
                    previousEra: previous.era,
                    previousRevision: previous.revision,
                });
            },
        });
        for await (const update of updates) {
            try {
                apply(update);
            }
            catch (error) {
                // One update that cannot be applied must not end the task: later ones would be missed.
                log("an update from the platform's store could not be applied", {
                    feed: name,
                    names: update.changes.slice(0, maximumLoggedNames).map(change => change.name),
                    reason: (error as Error).stack,
                });
            }
        }
    }

    function isWatching(): boolean {
        const isNeeded = watchPolicy.isWatching();
        if (isNeeded !== wasWatching) {
            log(
                isNeeded
                    ? "this VM watches the platform's store"
                    : "this VM stops watching the platform's store and relies on other VMs",
            );
            wasWatching = isNeeded;
        }
        return isNeeded;
    }

    async function start(): Promise<void> {
        void follow("endpoints", store.endpoints, directory.applyEndpoints);
        void follow("routing tables", store.routingTables, update => {
            for (const { name, item, problem } of update.changes) {
                if (problem !== undefined) {
                    log("routing table cannot be decoded", { name, problem });
                }
                if (item !== undefined) {
                    directory.applyRoutingTable(item);
                }
            }
        });
    }

    async function stop(): Promise<void> {
        end.abort();
    }

    return { start, stop };
}
