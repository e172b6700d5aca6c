import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { soakConstants } from "../../constants.js";
import { findLostWrites } from "./index.js";

const { log } = createSoakHistory();
const discardedEntries = log.slice(1);
const shortLog = log.slice(0, 1);

describe("findLostWrites", () => {
    it("finds an acknowledged write that no endpoint holds", () => {
        assert.equal([...findLostWrites(createSoakHistory({ log: shortLog, endpointFaults: [1_000] }))].length, 1);
    });

    it("ignores writes that a promotion discarded near a fault of an endpoint, but no others", () => {
        const near = createSoakHistory({ log: shortLog, discardedEntries, endpointFaults: [1_000] });
        const far = createSoakHistory({
            log: shortLog,
            discardedEntries,
            endpointFaults: [1_100 + soakConstants.lossToleranceMilliseconds],
        });
        assert.deepEqual([...findLostWrites(near)], []);
        assert.equal([...findLostWrites(far)].length, 1);
    });
});
