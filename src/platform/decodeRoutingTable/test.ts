import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { digestKey } from "../../workspaces/digestKey/index.js";
import { decodeRoutingTable } from "./index.js";

const key = "v3nax7u27gxprymh2rry";
const route = {
    host: "shop",
    service: "orders",
    routeType: "primary",
    timeoutMs: 1_000,
    targetLatencyMs: 800,
    priority: 0,
};
const workspace = { name: "museums", apiKeys: [key], priority: 1, ratePerS: 168, burst: 84 };

function decode(changes: object) {
    return decodeRoutingTable({
        version: 7,
        routes: [route],
        services: [{ name: "orders", maxConns: 20 }],
        limits: { txIdleMs: 3_000 },
        ...changes,
    });
}

describe("decodeRoutingTable", () => {
    it("has no workspaces where the operator names none", () => {
        assert.equal(decode({}).workspaces, undefined);
        assert.deepEqual(decode({ tenants: [] }).workspaces, []);
    });

    it("decodes workspaces, and keeps digests in place of keys", () => {
        const table = decode({ tenants: [workspace] });
        assert.deepEqual(table.workspaces, [{
            name: "museums",
            keyDigests: [digestKey(key)],
            priority: 1,
            quota: { operationsPerSecond: 168, burstOperations: 84 },
        }]);
        assert.ok(!JSON.stringify(table).includes(key));
    });

    it("gives no quota to a workspace without a rate, and one of 0 to a rate of 0", () => {
        assert.equal(decode({ tenants: [{ name: "museums", apiKeys: [] }] }).workspaces![0]!.quota, undefined);
        assert.deepEqual(decode({ tenants: [{ ...workspace, ratePerS: 0, burst: 0 }] }).workspaces![0]!.quota, {
            operationsPerSecond: 0,
            burstOperations: 0,
        });
    });

    it("marks open routes", () => {
        const { routes } = decode({ routes: [route, { ...route, host: "catalogue", noAuth: true }] });
        assert.deepEqual(routes.map(({ isOpen }) => isOpen), [undefined, true]);
    });

    it("rejects one key of two workspaces, without naming it", () => {
        assert.throws(
            () => decode({ tenants: [workspace, { ...workspace, name: "schools" }] }),
            error => /museums and schools hold the same key/.test(String(error)) && !String(error).includes(key),
        );
    });

    it("rejects a name that would change the message to an endpoint, a negative rate and an empty key", () => {
        for (const wrong of [{ name: "a b" }, { name: "a\r\nb" }, { ratePerS: -1 }, { apiKeys: [""] }]) {
            assert.throws(() => decode({ tenants: [{ ...workspace, ...wrong }] }));
        }
    });

    it("decodes 10,000 workspaces", () => {
        const tenants = Array.from({ length: 10_000 }, (_, index) => ({ name: `w${index}`, apiKeys: [`k${index}`] }));
        assert.equal(decode({ tenants }).workspaces!.length, 10_000);
    });
});
