import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createBodyBudget } from "./index.js";

describe("createBodyBudget", () => {
    it("closes the connection whose request holds most when bodies fill the budget", () => {
        const closed: string[] = [];
        let disconnections = 0;
        const budget = createBodyBudget(100, () => {
            disconnections += 1;
        });
        const open = (name: string) => budget.open(() => closed.push(name));
        const [small, large, late] = [open("small"), open("large"), open("late")];
        small.add(10);
        large.add(60);
        late.add(30);
        assert.deepEqual(closed, []);
        small.add(1);
        assert.deepEqual(closed, ["large"]);
        large.add(80);
        assert.equal(budget.heldBytes(), 41);
        late.release();
        late.release();
        assert.equal(budget.heldBytes(), 11);
        assert.equal(disconnections, 1);
    });
});
