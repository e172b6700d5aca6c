import assert from "node:assert/strict";
import { test } from "node:test";
import { checkHistory } from "../../history/checkHistory/index.js";
import { OperationKind } from "../../history/types/OperationKind.js";
import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import { summarizeLoad } from "../../load/summarizeLoad/index.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { createReport } from "./index.js";

test("a report draws the run, marks its faults and loads no other file", () => {
    const operations = [10, 200, 900].map((invokedAt): RecordedOperation => ({
        kind: OperationKind.Append,
        database: "stock",
        caller: "dealer",
        session: "s1",
        lists: ["a"],
        value: `v${invokedAt}`,
        invokedAt,
        completedAt: invokedAt + 5,
        outcome: OutcomeKind.Answer,
    }));
    const run = { operations, startedAt: 0, endedAt: 1_000, faults: [{ at: 250, text: "primary <stock-1> killed" }] };
    const report = createReport({ run, summary: summarizeLoad(run), verdict: checkHistory(operations, []) });
    assert.equal(report.match(/<svg /g)?.length, 3);
    assert.ok(report.includes("primary &lt;stock-1&gt; killed"));
    assert.ok(report.includes("700 ms in stock"));
    assert.doesNotMatch(report, /(src|href)=/);
});
