import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRepeatedLog } from "./index.js";

describe("createRepeatedLog", () => {
    it("writes at most one line a second, with the number of times since the last", () => {
        const lines: unknown[] = [];
        let time = 0;
        const record = createRepeatedLog((message, fields) => lines.push([message, fields]), "closed", () => time);
        record({ last: "a" });
        record({ last: "b" });
        time = 1_000;
        record({ last: "c" });
        assert.deepEqual(lines, [["closed", { times: 1, last: "a" }], ["closed", { times: 2, last: "c" }]]);
    });
});
