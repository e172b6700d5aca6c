import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { followFeed } from "../followFeed/index.js";
import type { Directory } from "../types/Directory.js";
import type { Feed } from "../types/Feed.js";
import type { FeedUpdate } from "../types/FeedUpdate.js";
import type { PlatformStore } from "../types/PlatformStore.js";
import type { StoreNews } from "../types/StoreNews.js";
import type { WatchChoice } from "../types/WatchChoice.js";

/** Options of `createDirectoryFollower`. */
interface DirectoryFollowerOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly store: Pick<PlatformStore, "endpoints" | "routingTables">;
    readonly directory: Directory;
    /** Whether and how this VM watches. */
    readonly choice: WatchChoice;
    /** Told of each answer. */
    readonly news: Pick<StoreNews, "noteAnswer">;
    readonly metrics: Pick<Metrics, "countStoreFailure">;
    readonly log: LogTopic;
}

/** Keeps the directory in step with the platform's store. */
interface DirectoryFollower {
    start(): Promise<void>;
    stop(): Promise<void>;
}

/**
 * Creates the tasks that keep the directory in step with the platform's store.
 *
 * @param options Clock, randomness, the store, the directory and the log.
 * @returns The tasks, not yet started.
 *
 * @example
 * await createDirectoryFollower({ clock, random, store, directory, log }).start();
 */
export function createDirectoryFollower(options: DirectoryFollowerOptions): DirectoryFollower {
    const { clock, random, store, directory, choice, log } = options;
    const end = new AbortController();
    let wasWatching = true;

    async function follow<Item>(
        name: string,
        feed: Feed<Item>,
        apply: (update: FeedUpdate<Item>) => void,
    ): Promise<void> {
        let isReached = true;
        const updates = followFeed(feed, {
            clock,
            random,
            signal: end.signal,
            isNeeded: isWatching,
            watchMilliseconds: choice.watchMilliseconds,
            onFailure: error => {
                options.metrics.countStoreFailure();
                if (isReached) {
                    log("store is not reached", { feed: name, reason: error.message });
                }
                isReached = false;
            },
            onAnswer: () => {
                options.news.noteAnswer(name);
                if (!isReached) {
                    log("store is reached again", { feed: name });
                }
                isReached = true;
            },
        });
        for await (const update of updates) {
            apply(update);
        }
    }

    function isWatching(): boolean {
        const isNeeded = choice.isWatching();
        if (isNeeded !== wasWatching) {
            log(isNeeded ? "watches the store" : "leaves watching the store to other VMs");
            wasWatching = isNeeded;
        }
        return isNeeded;
    }

    async function start(): Promise<void> {
        void follow("endpoints", store.endpoints, directory.applyEndpoints);
        void follow("routing tables", store.routingTables, update => {
            for (const { name, item, problem } of update.changes) {
                if (problem !== undefined) {
                    log("routing table cannot be read", { name, problem });
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
