import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeEndpointRecord } from "./index.js";

const version = { era: 1, revision: 7 };
const content = {
    service: "orders",
    addr: "10.1.0.8:8784",
    zone: "a",
    slots: 3,
    state: "ready",
    dbRole: "replica",
    coldLeftMs: 20,
    born: 1_765_000_000_000,
    seq: 4,
};
const longestReason = 300;

describe("decodeEndpointRecord", () => {
    it("decodes what an endpoint writes, and ignores fields that it does not know", () => {
        const { group, address, startedAt } = decodeEndpointRecord("i-7", version, { ...content, extra: [1] });
        assert.deepEqual({ group, ...address, startedAt }, {
            group: "orders",
            host: "10.1.0.8",
            port: 8784,
            availabilityZone: "a",
            startedAt: 1_765_000_000_000,
        });
    });

    it("refuses a name or group that would end the line of a message to an endpoint", () => {
        const line = "x\r\nQUERY - WRITE a b";
        for (const odd of [line, "x y", "x\ny", "x\ry", "", "x\0"]) {
            assert.throws(() => decodeEndpointRecord(odd, version, content), `id ${JSON.stringify(odd)}`);
            assert.throws(() => decodeEndpointRecord("i-7", version, { ...content, service: odd }));
        }
    });

    it("refuses numbers, ports and hosts that no endpoint has", () => {
        const changes = [
            ...["slots", "coldLeftMs", "born", "seq"].flatMap(field =>
                [-1, 1e300, Number.MAX_VALUE, Infinity, NaN, "3", []].map(value => ({ [field]: value }))
            ),
            { born: 0.5 },
            ...["10.1.0.8:0", "10.1.0.8:65536", "10.1.0.8:99999", "10.1.0.8", "host.example:80", "10.1.0.300:80", ""]
                .map(address => ({ addr: address })),
            { state: "asleep" },
            { dbRole: "leader" },
        ];
        for (const change of changes) {
            assert.throws(
                () => decodeEndpointRecord("i-7", version, { ...content, ...change }),
                JSON.stringify(change),
            );
        }
    });

    it("reports an odd entry in few words, whatever it holds", () => {
        const nested = JSON.parse(`${"[".repeat(100_000)}1e999${"]".repeat(100_000)}`) as unknown;
        const odd = [
            nested,
            { ...content, service: nested },
            { ...content, addr: "x".repeat(1_000_000) },
            [],
            "text",
            7,
        ];
        for (const entry of odd) {
            assert.throws(
                () => decodeEndpointRecord("i-7", version, entry),
                (error: Error) => error.message.length < longestReason,
            );
        }
    });

    it("throws an error for any value that it cannot decode, and nothing else", () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.string(), fastCheck.anything(), (id, value) => {
                try {
                    decodeEndpointRecord(id, version, value);
                }
                catch (error) {
                    assert.ok(error instanceof Error);
                }
            }),
            { seed: 7, numRuns: 2_000 },
        );
    });
});
