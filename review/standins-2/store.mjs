// Stand-in of the platform's store: objects by kind and name, with lists, watches and conditional writes.
import { once } from "node:events";
import { createServer } from "node:http";

const answerMilliseconds = 4;

/** Reads the body of a request as JSON; an empty body is `{}`. */
async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
}

/**
 * Starts a store. Each machine gets a port of its own (`openLink`), so that its path to the store can be told apart.
 * `link.isSilent` makes the store give no answer on that path; `link.translate` changes the text of the answers, as a
 * network does that translates addresses.
 */
export function createStore() {
    const objects = new Map();
    const events = [];
    const waiting = new Set();
    const servers = [];
    const era = "1";
    let revision = 1;

    function objectsOf(kind) {
        if (!objects.has(kind)) {
            objects.set(kind, new Map());
        }
        return objects.get(kind);
    }

    function publish(kind, object, deleted) {
        events.push({ kind, revision: object.meta.revision, event: { object, deleted } });
        if (deleted) {
            objectsOf(kind).delete(object.meta.name);
        }
        else {
            objectsOf(kind).set(object.meta.name, object);
        }
        for (const wake of [...waiting]) {
            wake(kind);
        }
    }

    function put(kind, name, spec) {
        const known = objectsOf(kind).get(name);
        if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
            return known;
        }
        revision += 1;
        const object = { meta: { name, revision, createRev: known?.meta.createRev ?? revision, finalizers: [], deleting: false }, spec, status: {} };
        publish(kind, object, false);
        return object;
    }

    function remove(kind, name) {
        const known = objectsOf(kind).get(name);
        if (known !== undefined) {
            revision += 1;
            publish(kind, { ...known, meta: { ...known.meta, revision } }, true);
        }
    }

    function answer(response, link, status, content) {
        setTimeout(() => {
            if (!link.isSilent) {
                response.writeHead(status, { "content-type": "application/json", "store-era": era });
                response.end(link.translate(JSON.stringify(content)));
            }
        }, answerMilliseconds);
    }

    function eventsAfter(kind, after) {
        return events.filter(entry => entry.kind === kind && entry.revision > after).map(({ event }) => event);
    }

    function watch(kind, after, milliseconds, link, response) {
        const finish = () => {
            clearTimeout(timer);
            waiting.delete(wake);
            link.watches -= 1;
            answer(response, link, 200, { events: eventsAfter(kind, after), asOf: revision });
        };
        const wake = changed => {
            if (changed === kind) {
                finish();
            }
        };
        link.watches += 1;
        const timer = setTimeout(finish, milliseconds);
        if (eventsAfter(kind, after).length > 0) {
            finish();
            return;
        }
        waiting.add(wake);
    }

    function read(url, kind, name, link, response) {
        if (name !== undefined) {
            const object = objectsOf(kind).get(name);
            answer(response, link, object === undefined ? 404 : 200, object ?? {});
            return;
        }
        const after = url.searchParams.get("watch");
        if (after !== null) {
            watch(kind, Number(after), Number(url.searchParams.get("waitMs") ?? 0), link, response);
            return;
        }
        answer(response, link, 200, { items: [...objectsOf(kind).values()], hasMore: false, asOf: revision });
    }

    function write(method, kind, name, body, link, response) {
        const target = method === "POST" ? body.meta.name : name;
        const known = objectsOf(kind).get(target);
        if (method === "POST" ? known !== undefined : known !== undefined && body.meta?.revision !== undefined && body.meta.revision !== known.meta.revision) {
            answer(response, link, 409, known);
            return;
        }
        if (method !== "POST" && known === undefined) {
            answer(response, link, 404, {});
            return;
        }
        if (method === "DELETE") {
            remove(kind, target);
            answer(response, link, 200, known);
            return;
        }
        answer(response, link, 200, put(kind, target, body.spec));
    }

    async function handle(link, request, response) {
        const url = new URL(request.url, "http://store");
        const [, , , kind, name] = url.pathname.split("/");
        const body = await readBody(request);
        if (link.isSilent) {
            return;
        }
        if (request.method === "GET") {
            read(url, kind, name && decodeURIComponent(name), link, response);
            return;
        }
        write(request.method, kind, name && decodeURIComponent(name), body, link, response);
    }

    async function openLink() {
        const link = { port: 0, isSilent: false, watches: 0, translate: text => text };
        const server = createServer((request, response) => void handle(link, request, response).catch(() => response.destroy()));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        link.port = server.address().port;
        servers.push(server);
        return link;
    }

    function stop() {
        for (const server of servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    return { openLink, put, remove, read: (kind, name) => objectsOf(kind).get(name), stop };
}
