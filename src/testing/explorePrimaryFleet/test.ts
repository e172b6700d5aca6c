import assert from "node:assert/strict";
import { env } from "node:process";
import { describe, it } from "node:test";
import { explorePrimaryFleet } from "./index.js";

/** Seeds of a long run by hand, written `first-last`. */
const [first, last] = (env["SIMULATION_SEEDS"] ?? "1-8").split("-").map(Number);
const log = env["SIMULATION_LOG"] === undefined ? () => {} : console.log;

describe("explorePrimaryFleet", () => {
    for (let seed = first!; seed <= last!; seed += 1) {
        it(`breaks no rule with the faults of seed ${seed}`, async () => {
            const findings = await explorePrimaryFleet(seed, log);
            assert.deepEqual(findings, { staleWrites: [], staleReads: [], tokenFaults: [], idleGroups: [] });
        });
    }
});
