import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createLineSplitter } from "./index.js";

describe("createLineSplitter", () => {
    it("joins the parts of a line and keeps all bytes", () => {
        const splitter = createLineSplitter(100);
        assert.deepEqual(splitter.push(Buffer.from("ROW \xe9", "latin1")), []);
        assert.deepEqual(splitter.push(Buffer.from("\xff\r", "latin1")), []);
        assert.deepEqual(splitter.push(Buffer.from("\nTERM\r\nREA", "latin1")), ["ROW \xe9\xff", "TERM"]);
    });

    it("refuses a line that is too long", () => {
        const splitter = createLineSplitter(10);
        assert.deepEqual(splitter.push(Buffer.from("123456")), []);
        assert.equal(splitter.push(Buffer.from("7890123")), undefined);
        assert.equal(createLineSplitter(10).push(Buffer.from("1234567890123\r\n")), undefined);
    });
});
