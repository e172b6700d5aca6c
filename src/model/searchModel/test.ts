import assert from "node:assert/strict";
import { test } from "node:test";
import { choosePromotionCandidate } from "../../failover/choosePromotionCandidate/index.js";
import { isHeldByMajority } from "../../failover/isHeldByMajority/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createModelState } from "../createModelState/index.js";
import { findLostEntry } from "../findLostEntry/index.js";
import { listModelSteps } from "../listModelSteps/index.js";
import type { ModelRules } from "../types/ModelRules.js";
import type { ModelState } from "../types/ModelState.js";
import { searchModel } from "./index.js";

const rules: ModelRules = {
    choosePromotionCandidate,
    isHeldByMajority,
    majority: 2,
    hasMarker: true,
    requiresWholeStartingLog: true,
    answerFence: (endpoint, name) => ({
        endpoint: name,
        lastEntryTerm: Math.abs(endpoint.log.at(-1) ?? 0),
        position: endpoint.log.length,
    }),
};

test("the product's rules lose no acknowledged entry in a bounded search", context => {
    for (const terms of [2, 3, 4]) {
        for (const seed of [1, 2, 3]) {
            const options = { endpoints: 3, terms, stateLimit: 6_000, random: createRandomSource(seed) };
            const { states, violation } = searchModel(rules, options);
            assert.equal(violation, undefined, JSON.stringify(violation));
            context.diagnostic(`${terms} terms, seed ${seed}: ${states} states`);
        }
    }
});

/** Runs the named steps in order, skipping those that the rules do not allow. */
function runSchedule(checkedRules: ModelRules, schedule: string): ModelState {
    let state = createModelState(3, 4);
    for (const name of schedule.split(", ")) {
        state = [...listModelSteps(state, checkedRules)].find(step => step.name === name)?.state ?? state;
    }
    return state;
}

const faultyRules: Record<string, { readonly fault: Partial<ModelRules>; readonly schedule: string; }> = {
    "acknowledging at the primary alone": {
        fault: { isHeldByMajority: (statuses, entry) => isHeldByMajority(statuses, entry, 1) },
        schedule: "fence 1 0, fence 1 1, promote 1, mark 1, write 1, acknowledge 1 1, fence 2 1, fence 2 2, promote 2",
    },
    "fencing one endpoint only": {
        fault: { choosePromotionCandidate: answers => choosePromotionCandidate(answers, { majority: 1 }) },
        schedule: "fence 1 0, fence 1 1, promote 1, mark 1, write 1, follow 1 1, cut 1 1, copy 1 1, copy 1 1, "
            + "acknowledge 1 1, fence 2 2, promote 2",
    },
    "ordering by the last entry's term without a marker": {
        fault: { hasMarker: false },
        schedule: "fence 1 0, fence 1 1, promote 1, mark 1, write 1, fence 2 1, fence 2 2, promote 2, mark 2, write 2, "
            + "fence 3 0, fence 3 2, promote 3, follow 3 2, cut 3 2, copy 3 2, copy 3 2, acknowledge 3 1, "
            + "fence 4 1, fence 4 2, promote 4",
    },
    "ordering by the last followed term, and following from the first entry": {
        fault: {
            requiresWholeStartingLog: false,
            answerFence: (endpoint, name) => ({
                endpoint: name,
                lastEntryTerm: Math.max(endpoint.term, Math.abs(endpoint.log.at(-1) ?? 0)),
                position: endpoint.log.length,
            }),
        },
        schedule: "fence 1 0, fence 1 1, promote 1, mark 1, write 1, follow 1 1, cut 1 1, copy 1 1, copy 1 1, "
            + "acknowledge 1 1, fence 2 1, fence 2 2, promote 2, follow 2 2, cut 2 2, fence 3 0, fence 3 2, promote 3",
    },
};

for (const [name, { fault, schedule }] of Object.entries(faultyRules)) {
    test(`${name} loses an acknowledged entry, and the product's rules don't in the same schedule`, () => {
        assert.equal(findLostEntry(runSchedule({ ...rules, ...fault }, schedule)), 1);
        assert.equal(findLostEntry(runSchedule(rules, schedule)), undefined);
    });
}
