/** The platform's store, as PROTOCOL describes it: objects by kind and name, one revision counter, lists and watches. */
import { once } from "node:events";
import { createServer } from "node:http";

export async function startStore() {
    const kinds = new Map();
    const events = [];
    const watchers = new Set();
    let revision = 1;
    const objectsOf = kind => {
        if (!kinds.has(kind)) {
            kinds.set(kind, new Map());
        }
        return kinds.get(kind);
    };
    function publish(kind, object, deleted) {
        events.push({ kind, object, deleted });
        [...watchers].forEach(check => check());
    }
    function put(kind, name, spec) {
        revision += 1;
        const known = objectsOf(kind).get(name);
        const meta = { name, revision, createRev: known?.meta.createRev ?? revision, finalizers: [], deleting: false };
        const object = { meta, spec, status: known?.status ?? {} };
        objectsOf(kind).set(name, object);
        publish(kind, object, false);
        return object;
    }
    function remove(kind, name) {
        const known = objectsOf(kind).get(name);
        if (known !== undefined) {
            revision += 1;
            objectsOf(kind).delete(name);
            publish(kind, { ...known, meta: { ...known.meta, revision } }, true);
        }
    }
    function watch(kind, after, waitMs, answer) {
        const found = () => events.filter(event => event.kind === kind && event.object.meta.revision > after);
        const finish = () => {
            clearTimeout(timer);
            watchers.delete(check);
            answer(200, { events: found().map(({ object, deleted }) => ({ object, deleted })), asOf: revision });
        };
        const check = () => {
            if (found().length > 0) {
                finish();
            }
        };
        const timer = setTimeout(finish, Math.min(waitMs, 30_000));
        watchers.add(check);
        check();
    }
    function write(method, kind, name, body, answer) {
        const target = name ?? body.meta?.name;
        const known = objectsOf(kind).get(target);
        const expected = body.meta?.revision;
        if (method === "POST") {
            return known === undefined ? answer(201, put(kind, target, body.spec)) : answer(409, known);
        }
        if (known === undefined) {
            return answer(404, {});
        }
        if (expected !== undefined && expected !== known.meta.revision) {
            return answer(409, known);
        }
        if (method === "DELETE") {
            remove(kind, target);
            return answer(200, {});
        }
        return answer(200, JSON.stringify(known.spec) === JSON.stringify(body.spec) ? known : put(kind, target, body.spec));
    }
    const server = createServer(async (request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString("utf8");
        const url = new URL(request.url, "http://store");
        const [, , , kind = "", encodedName] = url.pathname.split("/");
        const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
        const answer = (status, content) => {
            if (!response.writableEnded) {
                response.writeHead(status, { "content-type": "application/json" });
                response.end(JSON.stringify(content));
            }
        };
        if (request.method !== "GET") {
            write(request.method, kind, name, text === "" ? {} : JSON.parse(text), answer);
        }
        else if (name !== undefined) {
            const object = objectsOf(kind).get(name);
            answer(object === undefined ? 404 : 200, object ?? {});
        }
        else if (url.searchParams.has("watch")) {
            watch(kind, Number(url.searchParams.get("watch")), Number(url.searchParams.get("waitMs") ?? 0), answer);
        }
        else {
            const after = url.searchParams.get("after") ?? "";
            const items = [...objectsOf(kind).values()].filter(({ meta }) => meta.name > after);
            answer(200, { items, hasMore: false, asOf: revision });
        }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        port: server.address().port,
        put,
        remove,
        read: (kind, name) => objectsOf(kind).get(name)?.spec,
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
