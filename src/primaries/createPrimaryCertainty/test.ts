import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createKnownDirectory } from "../../testing/createKnownDirectory/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPrimaries } from "../createPrimaries/index.js";
import { createPrimaryCertainty } from "./index.js";

const primary = createEndpointRecord({ id: "i-1", isPrimary: true });

function createSite(queryIsPrimary: (endpointId: string) => Promise<boolean>) {
    const clock = createManualClock();
    const replicas = ["i-2", "i-3"].map(id => createEndpointRecord({ id }));
    const directory = createKnownDirectory(clock, [primary, ...replicas]);
    const primaries = createPrimaries(clock, directory, () => {});
    const state = { hasLease: true };
    const verification = createPrimaryCertainty({
        directory,
        primaries,
        hasLease: () => state.hasLease,
        askLeading: queryIsPrimary,
        metrics: { countConfirmation: () => {} },
        log: () => {},
    });
    return { state, primaries, verification };
}

describe("createPrimaryCertainty", () => {
    it("needs no query with a lease, for the known primary only", () => {
        const { state, primaries, verification } = createSite(async () => false);
        assert.ok(verification.isSure(primary));
        primaries.beginChange("orders", 2);
        assert.equal(verification.isSure(primary), false);
        primaries.cancelChange("orders");
        state.hasLease = false;
        assert.equal(verification.isSure(primary), false);
    });

    it("verifies the primary when all others are replicas, and not when one is primary or gives no answer", async () => {
        assert.equal(await createSite(async () => false).verification.confirm(primary), true);
        assert.equal(await createSite(async id => id === "i-3").verification.confirm(primary), false);
        const unresponsive = createSite(async id => {
            if (id === "i-3") {
                throw new Error("no answer");
            }
            return false;
        });
        assert.equal(await unresponsive.verification.confirm(primary), false);
    });

    it("does not rely on a query that was sent before the call", async () => {
        const answers: ((isPrimary: boolean) => void)[] = [];
        const { verification } = createSite(() => new Promise(resolve => answers.push(resolve)));
        const before = verification.confirm(primary);
        await Promise.resolve();
        const after = verification.confirm(primary);
        const shared = verification.confirm(primary);
        answers.splice(0).forEach(answer => answer(false));
        assert.equal(await before, true);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(answers.length, 2);
        answers.splice(0).forEach(answer => answer(true));
        assert.equal(await after, false);
        assert.equal(await shared, false);
    });
});
