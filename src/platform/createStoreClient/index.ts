import { z } from "zod";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { Feed } from "../../directory/types/Feed.js";
import type { FeedChange } from "../../directory/types/FeedChange.js";
import type { PlatformStore } from "../../directory/types/PlatformStore.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { createHttpClient } from "../createHttpClient/index.js";
import { decodeEndpointRecord } from "../decodeEndpointRecord/index.js";
import { decodeRoutingTable } from "../decodeRoutingTable/index.js";
import { storedObjectSchema } from "../storedObjectSchema.js";

/** Options of `createStoreClient`. */
interface StoreClientOptions {
    /** Time limit of a request; for a watch, in addition to the time that the store waits for changes. */
    readonly timeoutMilliseconds: number;
}

/** Decodes an object's content. */
type Decoder<Item> = (name: string, revision: number, content: unknown) => Item;

const pageSchema = z.object({ items: z.array(z.unknown()), hasMore: z.boolean(), asOf: z.number() });
const changesSchema = z.object({
    events: z.array(z.object({ deleted: z.boolean(), object: z.unknown() })),
    asOf: z.number(),
});

const objectKinds = { endpoints: "servers", configuration: "config", records: "tarragonpost" } as const;
/** Status of the answer to a watch from a revision that the store has compacted. */
const compactedStatus = 410;

/**
 * Creates the client of the platform's store.
 *
 * @param address Address of the store.
 * @param options Time limit of a request, in milliseconds.
 * @returns The client, including the `stop` that the kernel calls.
 *
 * @example
 * const store = createStoreClient(settings.storeAddress, { timeoutMilliseconds: 1_500 });
 */
export function createStoreClient(address: Address, options: StoreClientOptions): PlatformStore {
    const { timeoutMilliseconds } = options;
    const client = createHttpClient(address);

    function pathOf(kind: string, name?: string): string {
        return `/-/objects/${kind}${name === undefined ? "" : `/${encodeURIComponent(name)}`}`;
    }

    function createStatusError(path: string, status: number): Error {
        return createError(ErrorKind.PlatformUnavailable, `The store answered ${path} with status ${status}.`, {
            remedy: "Retry later.",
        });
    }

    function createFeed<Item>(kind: string, decode: Decoder<Item>): Feed<Item> {
        async function list() {
            const changes: FeedChange<Item>[] = [];
            let revision: number | undefined;
            for (let after: string | undefined = ""; after !== undefined;) {
                const path: string = `${pathOf(kind)}${after === "" ? "" : `?after=${encodeURIComponent(after)}`}`;
                const answer = await client.call({ method: "GET", path, timeoutMilliseconds });
                if (answer.status !== 200) {
                    throw createStatusError(path, answer.status);
                }
                const page = pageSchema.parse(answer.content);
                changes.push(...page.items.flatMap(item => decodeChange(item, false, decode)));
                // A watch from the first page's revision also reports the changes made between two pages.
                revision ??= page.asOf;
                after = page.hasMore ? changes.at(-1)?.name : undefined;
            }
            return { changes, revision: revision ?? 0 };
        }

        async function waitForChanges(revision: number, waitMilliseconds: number) {
            const path = `${pathOf(kind)}?watch=${revision}&waitMs=${waitMilliseconds}`;
            const answer = await client.call({
                method: "GET",
                path,
                timeoutMilliseconds: waitMilliseconds + timeoutMilliseconds,
            });
            if (answer.status === compactedStatus) {
                return undefined;
            }
            if (answer.status !== 200) {
                throw createStatusError(path, answer.status);
            }
            const { events, asOf } = changesSchema.parse(answer.content);
            return {
                changes: events.flatMap(event => decodeChange(event.object, event.deleted, decode)),
                revision: asOf,
            };
        }

        return { list, waitForChanges };
    }

    async function read(name: string): Promise<VersionedRecord | undefined> {
        const path = pathOf(objectKinds.records, name);
        const answer = await client.call({ method: "GET", path, timeoutMilliseconds });
        if (answer.status === 404) {
            return undefined;
        }
        return toRecord(path, answer);
    }

    async function create(name: string, content: unknown): Promise<VersionedRecord> {
        const path = pathOf(objectKinds.records);
        const body = { meta: { name }, spec: content };
        return toRecord(path, await client.call({ method: "POST", path, body, timeoutMilliseconds }));
    }

    async function replace(name: string, content: unknown, revision: number): Promise<VersionedRecord> {
        const path = pathOf(objectKinds.records, name);
        const body = { meta: { name, revision }, spec: content };
        return toRecord(path, await client.call({ method: "PUT", path, body, timeoutMilliseconds }));
    }

    function toRecord(path: string, answer: { readonly status: number; readonly content: unknown; }): VersionedRecord {
        if (answer.status === 409 || answer.status === 404) {
            throw createError(ErrorKind.Conflict, `${path} was created, changed or removed by another writer.`, {
                remedy: "Read the object again.",
            });
        }
        if (answer.status < 200 || answer.status > 299) {
            throw createStatusError(path, answer.status);
        }
        const { meta, spec } = storedObjectSchema.parse(answer.content);
        return { revision: meta.revision, content: spec };
    }

    return {
        endpoints: createFeed<EndpointRecord>(objectKinds.endpoints, decodeEndpointRecord),
        routingTables: createFeed<RoutingTable>(
            objectKinds.configuration,
            (_name, _revision, content) => decodeRoutingTable(content),
        ),
        records: { read, create, replace },
        stop: client.stop,
    };
}

/** Decodes one object; returns no change when the object has no readable name or revision. */
function decodeChange<Item>(object: unknown, isDeleted: boolean, decode: Decoder<Item>): FeedChange<Item>[] {
    const outcome = storedObjectSchema.safeParse(object);
    if (!outcome.success) {
        return [];
    }
    const { meta: { name, revision }, spec } = outcome.data;
    if (isDeleted) {
        return [{ name, revision, item: undefined }];
    }
    try {
        return [{ name, revision, item: decode(name, revision, spec) }];
    }
    catch (error) {
        return [{ name, revision, item: undefined, problem: (error as Error).message }];
    }
}
