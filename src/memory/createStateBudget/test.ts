import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { memoryConstants } from "../constants.js";
import { StateRefusal } from "../types/StateRefusal.js";
import { createStateBudget } from "./index.js";

const { keptOverheadBytes } = memoryConstants;
const entryBytes = 1_000;
const entryCost = entryBytes + keptOverheadBytes;

function createBudget() {
    const refusals: StateRefusal[] = [];
    const logged: unknown[] = [];
    const budget = createStateBudget({
        limits: { sessionBytes: 2 * entryCost, stateBytes: 3 * entryCost },
        clock: { now: () => 0 },
        metrics: { countStateRefusal: reason => refusals.push(reason) },
        log: (_message, fields) => logged.push(fields?.["refused"]),
    });
    return { budget, refusals, logged };
}

describe("createStateBudget", () => {
    it("refuses what exceeds the limit of one session, and lets it replace and drop what it keeps", () => {
        const { budget, refusals, logged } = createBudget();
        const account = budget.openState();
        assert.equal(account.keep("a", entryBytes), undefined);
        assert.equal(account.keep("b", entryBytes), undefined);
        assert.equal(account.keep("c", 1), StateRefusal.SessionFull);
        assert.equal(account.keep("a", entryBytes), undefined);
        assert.equal(account.keep("a", entryBytes + 1), StateRefusal.SessionFull);
        assert.equal(account.keep("a", 0), undefined);
        assert.equal(account.keep("c", entryBytes), undefined);
        assert.equal(budget.keptBytes(), 2 * entryCost);
        assert.deepEqual(refusals, [StateRefusal.SessionFull, StateRefusal.SessionFull]);
        assert.deepEqual(logged, [1]);
    });

    it("refuses what exceeds the limit of the process until a session ends", () => {
        const { budget } = createBudget();
        const first = budget.openState();
        const second = budget.openState();
        first.keep("a", entryBytes);
        first.keep("b", entryBytes);
        second.keep("a", entryBytes);
        assert.equal(second.keep("b", entryBytes), StateRefusal.ProcessFull);
        first.close();
        assert.equal(budget.keptBytes(), entryCost);
        assert.equal(second.keep("b", entryBytes), undefined);
        first.close();
        assert.equal(first.keep("a", entryBytes), undefined);
        assert.equal(budget.keptBytes(), 2 * entryCost);
    });
});
