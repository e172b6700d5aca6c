import type { z } from "zod";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { promotionConstants } from "../constants.js";
import type { HolderRecord } from "../types/HolderRecord.js";

/** Options of `createHolderRecord`. */
interface HolderRecordOptions<Content> {
    readonly clock: Clock;
    readonly directory: Pick<Directory, "highestVersion">;
    readonly records: RecordStore;
    /** Token of this VM while it holds the failover duty. */
    readonly heldToken: () => number | undefined;
    /** Name of the record in the store. */
    readonly name: string;
    readonly schema: z.ZodType<Content>;
    /** Content that need not be recorded, and stands for a missing or unreadable record. */
    readonly empty: Content;
    /** Time between two synchronizations at least, in milliseconds. */
    readonly intervalMilliseconds: number;
    /** Takes over what an earlier holder has recorded. */
    readonly merge: (recorded: Content) => void;
    /** Creates what is to be recorded now; equal states have to have the same order of elements. */
    readonly createContent: () => Content;
    readonly log: LogTopic;
}

/**
 * Creates a record in the platform's store with which the holder of the failover duty hands its knowledge to the next one.
 *
 * The record is read once for each token, and written after each change of the content, and when the store was restored
 * from a copy that may lack it.
 *
 * @param options Clock, store, name and content of the record.
 * @returns The record, not read yet.
 *
 * @example
 * record.markChanged();
 * void record.synchronize();
 */
export function createHolderRecord<Content>(options: HolderRecordOptions<Content>): HolderRecord {
    const { clock, records, name, log } = options;
    /** Token with which the record was read. */
    let loadedToken: number | undefined;
    /** Era of the store in which the record was last read. */
    let loadedEra: number | undefined;
    let isSynchronizing = false;
    let hasUnsavedChange = false;
    let dueAt = -Infinity;

    async function synchronize(): Promise<void> {
        const token = options.heldToken();
        const { era } = options.directory.highestVersion();
        const isCurrent = loadedToken === token && loadedEra === era && !hasUnsavedChange;
        if (token === undefined || isCurrent || isSynchronizing || clock.now() < dueAt) {
            return;
        }
        isSynchronizing = true;
        dueAt = clock.now() + options.intervalMilliseconds;
        try {
            await readAndWrite(token);
            loadedToken = token;
            loadedEra = era;
        }
        catch (error) {
            dueAt = clock.now() + promotionConstants.recordRetryMilliseconds;
            log("a record of the holder was not synchronized with the store; retrying", {
                record: name,
                reason: (error as Error).message,
            });
        }
        isSynchronizing = false;
    }

    async function readAndWrite(token: number): Promise<void> {
        const record = await records.read(name);
        const recorded = options.schema.safeParse(record?.content).data ?? options.empty;
        if (loadedToken !== token) {
            options.merge(recorded);
        }
        const content = options.createContent();
        hasUnsavedChange = false;
        if (JSON.stringify(content) === JSON.stringify(recorded)) {
            return;
        }
        try {
            await (record === undefined
                ? records.create(name, content)
                : records.replace(name, content, record.revision));
        }
        catch (error) {
            hasUnsavedChange = true;
            throw error;
        }
    }

    return {
        markChanged: () => {
            hasUnsavedChange = true;
        },
        synchronize,
        isLoaded: () => loadedToken !== undefined && loadedToken === options.heldToken(),
    };
}
