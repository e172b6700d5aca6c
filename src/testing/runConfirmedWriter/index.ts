import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { isHeldByMajority } from "../../failover/isHeldByMajority/index.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";

/** Options of `runConfirmedWriter`. */
interface ConfirmedWriterOptions {
    readonly record: () => GroupRecord | undefined;
    readonly connect: (endpoint: string) => Promise<EndpointConnection>;
    readonly endpoints: readonly string[];
    readonly signal: AbortSignal;
    /** Called for each acknowledged write with the time since the previous one, in milliseconds. */
    readonly onAcknowledged?: (gapMilliseconds: number) => void;
}

/** The result of a writer. */
interface WriterReport {
    /** Values whose write was acknowledged, in order. */
    readonly acknowledged: readonly number[];
}

/**
 * Writes values to the list `log` of a group for tests, one after the other, as an entry with its gateway would.
 *
 * A write counts as acknowledged once a majority of the recorded term holds it. A failed write is not retried.
 *
 * @param options The group's record, a function that connects to endpoints, and a signal that ends the writer.
 * @returns The acknowledged values.
 *
 * @example
 * const report = await runConfirmedWriter({ record, connect, endpoints, signal });
 */
export async function runConfirmedWriter(options: ConfirmedWriterOptions): Promise<WriterReport> {
    const { signal } = options;
    const acknowledged: number[] = [];
    const connections = new Map<string, Promise<EndpointConnection>>();
    let acknowledgedAt = performance.now();

    function connectionTo(endpoint: string): Promise<EndpointConnection> {
        const opened = connections.get(endpoint) ?? options.connect(endpoint);
        connections.set(endpoint, opened);
        const removeConnection = (): boolean => connections.delete(endpoint);
        opened.then(connection => connection.closed).then(removeConnection, removeConnection);
        return opened;
    }

    /** Reads all statuses concurrently; resolves once they confirm the entry, or when all reads have ended. */
    async function checkConfirmation(entry: { readonly term: number; readonly position: number; }): Promise<boolean> {
        const statuses: EndpointStatus[] = [];
        return await new Promise(resolve => {
            const reads = options.endpoints.map(async endpoint => {
                statuses.push(await (await connectionTo(endpoint)).readStatus(100));
                if (isHeldByMajority(statuses, entry, 2)) {
                    resolve(true);
                }
            });
            void Promise.allSettled(reads).then(() => resolve(false));
        });
    }

    async function write(value: number, record: GroupRecord): Promise<boolean> {
        const primary = await connectionTo(record.primary);
        const { position } = await primary.execute({
            statement: { operation: "Append", list: "log", value },
            isWrite: true,
            term: record.term,
            leastPosition: 0,
            waitMilliseconds: 0,
            timeoutMilliseconds: 200,
        });
        for (let attempt = 0; attempt < 20 && !signal.aborted; attempt += 1) {
            if (await checkConfirmation({ term: record.term, position })) {
                return true;
            }
            await pause(2);
        }
        return false;
    }

    for (let value = 1; !signal.aborted; value += 1) {
        const record = options.record();
        const isAcknowledged = record !== undefined && await write(value, record).catch(() => false);
        if (isAcknowledged) {
            acknowledged.push(value);
            options.onAcknowledged?.(performance.now() - acknowledgedAt);
            acknowledgedAt = performance.now();
        }
        await pause(2);
    }
    for (const connection of await Promise.allSettled(connections.values())) {
        if (connection.status === "fulfilled") {
            connection.value.close();
        }
    }
    return { acknowledged };
}

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
