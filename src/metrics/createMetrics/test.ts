import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { createMetrics } from "./index.js";

describe("createMetrics", () => {
    it("counts statements by outcome and reads gauges at each rendering", async () => {
        const metrics = createMetrics();
        metrics.countStatement(ReadGuarantee.Primary, 28);
        metrics.countStatement(ReadGuarantee.Primary, 700, FailureCode.Busy);
        let sessions = 1;
        metrics.registerGauge("tarragonpost_sessions", "Open sessions.", () => sessions);
        sessions = 3;
        const text = await metrics.render();
        assert.match(text, /tarragonpost_statements_total\{guarantee="Primary",outcome="Success"\} 1/);
        assert.match(text, /tarragonpost_statements_total\{guarantee="Primary",outcome="Busy"\} 1/);
        assert.match(text, /tarragonpost_statement_seconds_bucket\{le="0.05",guarantee="Primary"\} 1/);
        assert.match(text, /tarragonpost_sessions 3/);
    });
});
