import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { mergeEndpointRecords } from "./index.js";

const before = createEndpointRecord({ era: 1, revision: 30, startedAt: 5, reportNumber: 9, isLeaving: true });
const copied = createEndpointRecord({ era: 2, revision: 8, startedAt: 5, reportNumber: 2 });

describe("mergeEndpointRecords", () => {
    it("keeps the newer report of an endpoint when the restored store still holds an older one", () => {
        for (const merged of [mergeEndpointRecords(before, copied), mergeEndpointRecords(copied, before)]) {
            assert.deepEqual(merged, { ...before, era: 2, revision: 8 });
        }
    });

    it("takes what a new process of the endpoint registers at the restored store, although its reports count anew", () => {
        const restarted = createEndpointRecord({ era: 2, revision: 9, startedAt: 7, reportNumber: 1 });
        assert.deepEqual(mergeEndpointRecords(before, restarted), restarted);
        assert.deepEqual(mergeEndpointRecords(copied, restarted), restarted);
    });

    it("takes the later version during an era, also when the endpoint's clock was set back", () => {
        const later = createEndpointRecord({ era: 1, revision: 31, startedAt: 4, reportNumber: 1 });
        assert.deepEqual(mergeEndpointRecords(before, later), later);
    });

    it("gives the same record whichever comes first", () => {
        const record = fastCheck.record({
            era: fastCheck.integer({ min: 1, max: 3 }),
            revision: fastCheck.integer({ min: 1, max: 6 }),
            startedAt: fastCheck.integer({ min: 1, max: 2 }),
            reportNumber: fastCheck.integer({ min: 1, max: 4 }),
        }).map(createEndpointRecord);
        fastCheck.assert(
            fastCheck.property(record, record, (left, right) => {
                assert.deepEqual(mergeEndpointRecords(left, right), mergeEndpointRecords(right, left));
            }),
            { seed: 27 },
        );
    });
});
