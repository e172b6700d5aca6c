import assert from "node:assert/strict";
import { test } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { findForeignOwners } from "./index.js";

test("finds statements that ran in another name than that of their caller's workspace", () => {
    const { units, executedStatements } = createSoakHistory();
    assert.deepEqual([...findForeignOwners({ ...createSoakHistory() })], []);
    const ofMuseums = units.map(unit => ({ ...unit, workspace: "museums" }));
    assert.equal([...findForeignOwners(createSoakHistory({ units: ofMuseums }))].length, executedStatements.length);
});
