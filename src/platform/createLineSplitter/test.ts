import fastCheck from "fast-check";
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

    it("splits at CR LF only: a line feed or carriage return alone is part of the text", () => {
        const splitter = createLineSplitter(100);
        assert.deepEqual(splitter.push(Buffer.from("ROW one\ntwo\rthree\n")), []);
        assert.deepEqual(splitter.push(Buffer.from("four\r")), []);
        assert.deepEqual(splitter.push(Buffer.from("\n\nTERM\r")), ["ROW one\ntwo\rthree\nfour"]);
        assert.deepEqual(splitter.push(Buffer.from("\r\n")), ["\nTERM\r"]);
    });

    it("returns the lines that were sent, however they arrive in parts", () => {
        const byte = fastCheck.oneof(fastCheck.constantFrom("\r", "\n", " "), fastCheck.integer({ min: 0, max: 255 }));
        const line = fastCheck.array(byte.map(item => typeof item === "number" ? String.fromCharCode(item) : item))
            .map(bytes => bytes.join(""))
            .filter(text => !text.includes("\r\n"));
        const lines = fastCheck.array(line, { minLength: 1 });
        const cuts = fastCheck.infiniteStream(fastCheck.integer({ min: 1, max: 5 }));
        fastCheck.assert(
            fastCheck.property(lines, cuts, (sent, sizes) => {
                const splitter = createLineSplitter(1_000);
                const bytes = Buffer.from(sent.map(text => `${text}\r\n`).join(""), "latin1");
                const received: string[] = [];
                for (let start = 0; start < bytes.length;) {
                    const end = start + sizes.next().value;
                    received.push(...splitter.push(bytes.subarray(start, end))!);
                    start = end;
                }
                assert.deepEqual(received, sent);
            }),
            { seed: 7, numRuns: 500 },
        );
    });

    it("refuses a line that is too long", () => {
        const splitter = createLineSplitter(10);
        assert.deepEqual(splitter.push(Buffer.from("123456")), []);
        assert.equal(splitter.push(Buffer.from("7890123")), undefined);
        assert.equal(createLineSplitter(10).push(Buffer.from("1234567890123\r\n")), undefined);
    });
});
