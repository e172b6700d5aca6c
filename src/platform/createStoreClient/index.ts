import { z } from "zod";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { Feed } from "../../directory/types/Feed.js";
import type { FeedChange } from "../../directory/types/FeedChange.js";
import type { PlatformStore } from "../../directory/types/PlatformStore.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { createHttpClient } from "../createHttpClient/index.js";
import { decodeEndpointRecord } from "../decodeEndpointRecord/index.js";
import { decodeRoutingTable } from "../decodeRoutingTable/index.js";
import { decodeStoreEra } from "../decodeStoreEra/index.js";
import { storedObjectSchema } from "../storedObjectSchema.js";

/** Options of `createStoreClient`. */
interface StoreClientOptions {
    /** Time limit of a request; for a watch, in addition to the time that the store waits for changes. */
    readonly timeoutMilliseconds: number;
}

/** Decodes an object's content. */
type Decoder<Item> = (name: string, version: StoreVersion, content: unknown) => Item;

const pageSchema = z.object({ items: z.array(z.unknown()), hasMore: z.boolean(), asOf: z.number() });
const changesSchema = z.object({
    events: z.array(z.object({ deleted: z.boolean(), object: z.unknown() })),
    asOf: z.number(),
});

/** The part of an object that a list is continued with, even if the rest cannot be read. */
const nameSchema = z.object({ meta: z.object({ name: z.string() }) });

const objectKinds = { endpoints: "servers", configuration: "config", records: "tarragonpost" } as const;
/** Name of the object that holds the operator's configuration. */
const configurationName = "main";
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

    function createRestoredError(path: string): Error {
        return createError(
            ErrorKind.PlatformUnavailable,
            `The store was restored from a copy while it listed ${path}.`,
            {
                remedy: "List again.",
            },
        );
    }

    function createFeed<Item>(kind: string, decode: Decoder<Item>): Feed<Item> {
        async function list() {
            const changes: FeedChange<Item>[] = [];
            let version: StoreVersion | undefined;
            for (let after: string | undefined = ""; after !== undefined;) {
                const path: string = `${pathOf(kind)}${after === "" ? "" : `?after=${encodeURIComponent(after)}`}`;
                const answer = await client.call({ method: "GET", path, timeoutMilliseconds });
                if (answer.status !== 200) {
                    throw createStatusError(path, answer.status);
                }
                const page = pageSchema.parse(answer.content);
                const era = decodeStoreEra(answer.headers);
                changes.push(...page.items.flatMap(item => decodeChange(item, { era, isDeleted: false, decode })));
                // A watch from the first page's revision also reports the changes made between two pages.
                version ??= { era, revision: page.asOf };
                if (version.era !== era) {
                    throw createRestoredError(path);
                }
                after = page.hasMore ? nameSchema.safeParse(page.items.at(-1)).data?.meta.name : undefined;
            }
            return { changes, ...version! };
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
            const era = decodeStoreEra(answer.headers);
            return {
                changes: events.flatMap(({ object, deleted: isDeleted }) =>
                    decodeChange(object, { era, isDeleted, decode })
                ),
                era,
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

    function toRecord(path: string, answer: Awaited<ReturnType<typeof client.call>>): VersionedRecord {
        if (answer.status === 409 || answer.status === 404) {
            throw createError(ErrorKind.Conflict, `${path} was created, changed or removed by another writer.`, {
                remedy: "Read the object again.",
            });
        }
        if (answer.status < 200 || answer.status > 299) {
            throw createStatusError(path, answer.status);
        }
        const { meta, spec } = storedObjectSchema.parse(answer.content);
        return { era: decodeStoreEra(answer.headers), revision: meta.revision, content: spec };
    }

    return {
        endpoints: createFeed<EndpointRecord>(objectKinds.endpoints, decodeEndpointRecord),
        routingTables: createFeed<RoutingTable>(
            objectKinds.configuration,
            (name, _version, content) => decodeOperatorTable(name, content),
        ),
        records: { read, create, replace },
        stop: client.stop,
    };
}

/** Decodes the operator's configuration; other objects of the kind are not the operator's. */
function decodeOperatorTable(name: string, content: unknown): RoutingTable {
    if (name !== configurationName) {
        throw createError(ErrorKind.InvalidRequest, "Routes are taken from the operator's configuration only.", {
            remedy: `Write them to ${objectKinds.configuration}/${configurationName}.`,
        });
    }
    return decodeRoutingTable(content);
}

/** How to decode an object. */
interface ChangeDecoding<Item> {
    /** Era of the store in the answer that holds the object. */
    readonly era: number;
    readonly isDeleted: boolean;
    readonly decode: Decoder<Item>;
}

/** Decodes one object; returns no change when the object has no readable name or revision. */
function decodeChange<Item>(object: unknown, { era, isDeleted, decode }: ChangeDecoding<Item>): FeedChange<Item>[] {
    const outcome = storedObjectSchema.safeParse(object);
    if (!outcome.success) {
        return [];
    }
    const { meta: { name, revision }, spec } = outcome.data;
    if (isDeleted) {
        return [{ name, era, revision, item: undefined }];
    }
    try {
        return [{ name, era, revision, item: decode(name, { era, revision }, spec) }];
    }
    catch (error) {
        return [{ name, era, revision, item: undefined, problem: (error as Error).message }];
    }
}
