import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createKnownDirectory } from "../../testing/createKnownDirectory/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPrimaries } from "../createPrimaries/index.js";
import { createPrimaryCertainty } from "./index.js";

const primary = createEndpointRecord({ id: "i-1", isPrimary: true });

function createSite(askLeading: (endpointId: string) => Promise<boolean>) {
    const clock = createManualClock();
    const replicas = ["i-2", "i-3"].map(id => createEndpointRecord({ id }));
    const directory = createKnownDirectory(clock, [primary, ...replicas]);
    const primaries = createPrimaries(clock, directory, () => {});
    const state = { hasLease: true };
    const certainty = createPrimaryCertainty({
        directory,
        primaries,
        hasLease: () => state.hasLease,
        askLeading,
        metrics: { countConfirmation: () => {} },
        log: () => {},
    });
    return { state, primaries, certainty };
}

describe("createPrimaryCertainty", () => {
    it("is sure with a lease only, and only of the endpoint that is believed to lead", () => {
        const { state, primaries, certainty } = createSite(async () => false);
        assert.ok(certainty.isSure(primary));
        primaries.beginChange("orders", 2);
        assert.equal(certainty.isSure(primary), false);
        primaries.cancelChange("orders");
        state.hasLease = false;
        assert.equal(certainty.isSure(primary), false);
    });

    it("is confirmed when all others follow, and not when one leads or is silent", async () => {
        assert.equal(await createSite(async () => false).certainty.confirm(primary), true);
        assert.equal(await createSite(async id => id === "i-3").certainty.confirm(primary), false);
        const silent = createSite(async id => {
            if (id === "i-3") {
                throw new Error("no answer");
            }
            return false;
        });
        assert.equal(await silent.certainty.confirm(primary), false);
    });

    it("does not take an answer to a question that was asked before", async () => {
        const answers: ((isLeading: boolean) => void)[] = [];
        const { certainty } = createSite(() => new Promise(resolve => answers.push(resolve)));
        const before = certainty.confirm(primary);
        await Promise.resolve();
        const after = certainty.confirm(primary);
        const sharing = certainty.confirm(primary);
        answers.splice(0).forEach(answer => answer(false));
        assert.equal(await before, true);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(answers.length, 2);
        answers.splice(0).forEach(answer => answer(true));
        assert.equal(await after, false);
        assert.equal(await sharing, false);
    });
});
