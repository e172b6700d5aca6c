import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { findWrongSessionVariables } from "./index.js";

describe("findWrongSessionVariables", () => {
    it("finds a statement that ran with the session variable of another session, or without one", () => {
        const { executedStatements } = createSoakHistory();
        const others: readonly Readonly<Record<string, string>>[] = [{ session: "s2" }, {}];
        for (const values of others) {
            const changedStatements = [executedStatements[0]!, { ...executedStatements[1]!, values }];
            assert.equal(
                [...findWrongSessionVariables(createSoakHistory({ executedStatements: changedStatements }))].length,
                1,
            );
        }
    });
});
