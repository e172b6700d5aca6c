import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { toDutyHolder } from "./index.js";

const content = createVmIdentity("vm-1");
const tokenOf = (era: number, revision: number): number => toDutyHolder({ content, era, revision }).token;

describe("toDutyHolder", () => {
    it("gives a record of a restored store a higher token than any of the store before", () => {
        assert.ok(tokenOf(2, 1) > tokenOf(1, 900_000_000));
        assert.ok(tokenOf(2, 2) > tokenOf(2, 1));
        assert.equal(toDutyHolder({ content, era: 0, revision: 7 }).name, "vm-1");
    });

    it("refuses a version that would share its token with another one", () => {
        assert.throws(() => tokenOf(1, 2 ** 43), /too high/u);
        assert.throws(() => tokenOf(2 ** 20, 1), /too high/u);
    });

    it("reports a hand-over only from a record that was written in the store's present era", () => {
        const record = { ...content, writtenInEra: 1, isHandedOver: true };
        assert.equal(toDutyHolder({ content: record, era: 1, revision: 7 }).isHandedOver, true);
        assert.equal(toDutyHolder({ content: record, era: 2, revision: 7 }).isHandedOver, undefined);
        assert.equal(toDutyHolder({ content, era: 0, revision: 7 }).isHandedOver, undefined);
    });
});
