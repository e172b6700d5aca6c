import type { GroupRecord } from "../types/GroupRecord.js";
import type { GroupTable } from "../types/GroupTable.js";

/**
 * Creates the table of the known current term of each group. A group's term never decreases.
 *
 * @returns An empty table.
 *
 * @example
 * const groups = createGroupTable();
 * groups.applyGroupRecord({ database: "stock", term: 2, primary: "stock-1", markerPosition: 40 });
 */
export function createGroupTable(): GroupTable {
    const records = new Map<string, GroupRecord>();
    const listeners = new Set<(database: string) => void>();

    function applyGroupRecord(record: GroupRecord): boolean {
        const known = records.get(record.database);
        if (known !== undefined && known.term >= record.term) {
            return false;
        }
        records.set(record.database, record);
        for (const listener of [...listeners]) {
            listener(record.database);
        }
        return true;
    }

    function onChange(listener: (database: string) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    function waitForTerm(
        database: string,
        term: number,
        timeoutMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<GroupRecord | undefined> {
        const known = records.get(database);
        if (known !== undefined && known.term >= term) {
            return Promise.resolve(known);
        }
        return new Promise(resolve => {
            const finish = (record: GroupRecord | undefined): void => {
                clearTimeout(timer);
                stopListening();
                resolve(record);
            };
            const cancel = (): void => finish(undefined);
            const timer = setTimeout(cancel, timeoutMilliseconds);
            signal?.addEventListener("abort", cancel, { once: true });
            const stopListening = onChange(changed => {
                const record = records.get(database);
                if (changed === database && record !== undefined && record.term >= term) {
                    finish(record);
                }
            });
        });
    }

    return {
        groupOf: database => records.get(database),
        list: () => [...records.values()],
        applyGroupRecord,
        onChange,
        waitForTerm,
    };
}
