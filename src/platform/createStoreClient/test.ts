import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { describe, it } from "node:test";
import { createStoreClient } from "./index.js";

const timeoutMilliseconds = 2_000;
const depth = 200_000;
const sound = JSON.stringify({
    service: "orders",
    addr: "10.1.0.8:8784",
    zone: "a",
    slots: 3,
    state: "ready",
    dbRole: "replica",
});
const table = JSON.stringify({ version: 9, routes: [], services: [], limits: { txIdleMs: 3_000 } });

/** Runs a test against a store that answers each path with a text. */
async function withStore(
    answers: Readonly<Record<string, string>>,
    run: (store: ReturnType<typeof createStoreClient>) => Promise<void>,
): Promise<void> {
    const server = createServer((request, response) => response.end(answers[request.url ?? ""]));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as { port: number; };
    const store = createStoreClient({ host: "127.0.0.1", port, availabilityZone: "a" }, { timeoutMilliseconds });
    try {
        await run(store);
    }
    finally {
        await store.stop();
        server.close();
    }
}

const object = (name: string, revision: number, spec: string): string =>
    `{"meta":{"name":${JSON.stringify(name)},"revision":${revision}},"spec":${spec}}`;

describe("createStoreClient", () => {
    it("lists the sound entries beside odd ones: nested deeply, with numbers too large, without a name", async () => {
        const nested = `${"[".repeat(depth)}1e999${"]".repeat(depth)}`;
        const items = [
            object("odd-1", 1, nested),
            object("i-1", 2, sound),
            object("odd-2", 3, sound.replace(`"slots":3`, `"slots":${"9".repeat(400)}`)),
            object("odd-3", 4, sound.replace("8784", "99999")),
            object("__proto__", 5, `{"__proto__":{"service":"orders"}}`),
            `{"meta":null}`,
            object("i-2", 6, sound),
        ];
        const page = `{"items":[${items.join()}],"hasMore":false,"asOf":6}`;
        await withStore({ "/-/objects/servers": page }, async store => {
            const { changes } = await store.endpoints.list();
            assert.deepEqual(changes.filter(({ item }) => item !== undefined).map(({ name }) => name), ["i-1", "i-2"]);
        });
    });

    it("continues a list after a page that ends with an unreadable object", async () => {
        const first = `{"items":[${object("i-1", 2, sound)},{"meta":{"name":"odd"}}],"hasMore":true,"asOf":3}`;
        const second = `{"items":[${object("i-2", 3, sound)}],"hasMore":false,"asOf":3}`;
        const answers = { "/-/objects/servers": first, "/-/objects/servers?after=odd": second };
        await withStore(answers, async store => {
            const { changes } = await store.endpoints.list();
            assert.deepEqual(changes.map(({ name }) => name), ["i-1", "i-2"]);
        });
    });

    it("takes routes only from the operator's object", async () => {
        const items = [object("other", 2, table.replace("9", "99")), object("main", 3, table)];
        const page = `{"items":[${items.join()}],"hasMore":false,"asOf":3}`;
        await withStore({ "/-/objects/config": page }, async store => {
            const { changes } = await store.routingTables.list();
            assert.deepEqual(changes.map(({ item }) => item?.version), [undefined, 9]);
        });
    });
});
