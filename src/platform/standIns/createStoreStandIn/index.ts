import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { StoreMode } from "../types/StoreMode.js";
import type { StoreStandIn } from "../types/StoreStandIn.js";

/** An object with its name, revision and content. */
interface StandInObject {
    readonly meta: { readonly name: string; readonly revision: number; readonly createRev: number; };
    readonly spec: unknown;
}

/** A change of an object. */
interface StandInEvent {
    /** Time of the change, in milliseconds. */
    readonly at: number;
    readonly kind: string;
    readonly object: StandInObject;
    readonly deleted: boolean;
}

const firstRevision = 1;
const compacted = 410;
const conflict = 409;
const notFound = 404;
const unavailable = 503;

/**
 * Starts a store for tests with the HTTP interface of the platform's store.
 *
 * @returns The store, empty and listening on a free port of the loopback address.
 *
 * @example
 * const store = await createStoreStandIn();
 */
export async function createStoreStandIn(): Promise<StoreStandIn> {
    const objectsByKind = new Map<string, Map<string, StandInObject>>();
    const pendingWatches = new Set<() => void>();
    /** All changes, also those that watches no longer get. */
    let events: StandInEvent[] = [];
    let era = 1;
    let revision = firstRevision;
    let compactedAt = 0;

    const server: Server = createServer((request, response) => {
        void handle(request, response);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");

    const store: StoreStandIn = {
        port: (server.address() as { port: number; }).port,
        mode: StoreMode.Serving,
        put: (kind, name, spec) => void put(kind, name, spec),
        remove,
        read: (kind, name) => objectsOf(kind).get(name)?.spec,
        compact: () => {
            compactedAt = revision;
        },
        restoreCopy: ageMilliseconds => {
            const copiedAt = performance.now() - ageMilliseconds;
            events = events.filter(({ at }) => at <= copiedAt);
            objectsByKind.clear();
            events.forEach(applyEvent);
            revision = events.at(-1)?.object.meta.revision ?? firstRevision;
            era += 1;
            pendingWatches.forEach(checkEvents => checkEvents());
        },
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
    return store;

    function objectsOf(kind: string): Map<string, StandInObject> {
        let objects = objectsByKind.get(kind);
        if (objects === undefined) {
            objects = new Map();
            objectsByKind.set(kind, objects);
        }
        return objects;
    }

    function put(kind: string, name: string, spec: unknown): StandInObject {
        revision += 1;
        const createRev = objectsOf(kind).get(name)?.meta.createRev ?? revision;
        const object = { meta: { name, revision, createRev }, spec };
        publish({ at: performance.now(), kind, object, deleted: false });
        return object;
    }

    function remove(kind: string, name: string): void {
        const object = objectsOf(kind).get(name);
        if (object !== undefined) {
            revision += 1;
            const removed = { ...object, meta: { ...object.meta, revision } };
            publish({ at: performance.now(), kind, object: removed, deleted: true });
        }
    }

    function applyEvent({ kind, object, deleted }: StandInEvent): void {
        const objects = objectsOf(kind);
        if (deleted) {
            objects.delete(object.meta.name);
        }
        else {
            objects.set(object.meta.name, object);
        }
    }

    function publish(event: StandInEvent): void {
        events.push(event);
        applyEvent(event);
        pendingWatches.forEach(checkEvents => checkEvents());
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const [, , , kind = "", name] = url.pathname.split("/");
        const body = await readBody(request);
        if (store.mode === StoreMode.Silent) {
            return;
        }
        if (store.mode === StoreMode.Busy) {
            answer(response, unavailable, {});
            return;
        }
        if (request.method === "GET") {
            await handleRead(url, kind, name, response);
            return;
        }
        handleWrite(request.method ?? "", { kind, name, body, response });
    }

    async function handleRead(url: URL, kind: string, name: string | undefined, response: ServerResponse) {
        const watch = url.searchParams.get("watch");
        if (name !== undefined) {
            const object = objectsOf(kind).get(decodeURIComponent(name));
            answer(response, object === undefined ? notFound : 200, object ?? {});
        }
        else if (!watch) {
            answer(response, 200, { items: [...objectsOf(kind).values()], hasMore: false, asOf: revision });
        }
        else if (Number(watch) < compactedAt || Number(watch) > revision) {
            answer(response, compacted, {});
        }
        else {
            await waitForEvents(kind, Number(watch), Number(url.searchParams.get("waitMs")));
            const found = eventsAfter(kind, Number(watch));
            answer(response, 200, { events: found, asOf: revision });
        }
    }

    function eventsAfter(kind: string, after: number): StandInEvent[] {
        return events.filter(event => event.kind === kind && event.object.meta.revision > after);
    }

    async function waitForEvents(kind: string, after: number, milliseconds: number): Promise<void> {
        if (eventsAfter(kind, after).length > 0) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                pendingWatches.delete(checkEvents);
                resolve();
            };
            const checkEvents = (): void => {
                if (eventsAfter(kind, after).length > 0) {
                    finish();
                }
            };
            const timer = setTimeout(finish, milliseconds);
            pendingWatches.add(checkEvents);
        });
    }

    /** A request that creates or replaces an object. */
    interface WriteRequest {
        readonly kind: string;
        readonly name: string | undefined;
        readonly body: string;
        readonly response: ServerResponse;
    }

    function handleWrite(method: string, { kind, name, body, response }: WriteRequest): void {
        const content = JSON.parse(body) as { meta: { name: string; revision?: number; }; spec: unknown; };
        const target = method === "POST" ? content.meta.name : decodeURIComponent(name ?? "");
        const current = objectsOf(kind).get(target);
        const isConflict = method === "POST"
            ? current !== undefined
            : current !== undefined && content.meta.revision !== undefined
                && content.meta.revision !== current.meta.revision;
        if (isConflict) {
            answer(response, conflict, current);
            return;
        }
        if (method === "PUT" && current === undefined) {
            answer(response, notFound, {});
            return;
        }
        const object = put(kind, target, content.spec);
        if (store.mode === StoreMode.LosingAnswers) {
            response.destroy();
            return;
        }
        answer(response, 200, object);
    }

    function answer(response: ServerResponse, status: number, content: unknown): void {
        response.writeHead(status, { "content-type": "application/json", "store-era": `${era}` });
        response.end(JSON.stringify(content));
    }
}

async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}
