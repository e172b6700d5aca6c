import assert from "node:assert/strict";
import { test } from "node:test";
import { admissionConstants } from "../constants.js";
import { createRetryBudget } from "./index.js";

test("retries stay within their share of requests and the reserve, for each key", () => {
    const budget = createRetryBudget(() => 0.1);
    let retries = 0;
    for (let request = 0; request < 10_000; request += 1) {
        budget.countRequest("stock-1");
        retries += budget.tryConsumeRetry("stock-1") ? 1 : 0;
    }
    assert.ok(retries <= 1_000 + admissionConstants.maximumRetryBalance, `${retries} retries`);
    assert.ok(retries >= 990, `${retries} retries`);
    assert.equal(budget.tryConsumeRetry("stock-2"), true);
});
