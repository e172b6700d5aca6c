import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createLineBuffer } from "./index.js";

describe("createLineBuffer", () => {
    it("holds what was not taken, and counts its bytes", () => {
        const buffer = createLineBuffer(100);
        buffer.append(Buffer.from("TERM\r\nREAD a\r\nQU"));
        assert.equal(buffer.next(), "TERM");
        assert.equal(buffer.size(), 10);
        buffer.append(Buffer.from("ERY"));
        assert.equal(buffer.next(), "READ a");
        assert.equal(buffer.next(), undefined);
        assert.equal(buffer.size(), 5);
        buffer.append(Buffer.from("\r\n"));
        assert.equal(buffer.next(), "QUERY");
        assert.equal(buffer.size(), 0);
    });

    it("returns a long line that arrives byte by byte", () => {
        const buffer = createLineBuffer(10_000);
        const line = Array.from({ length: 5_000 }, (_, index) => String.fromCharCode(32 + index % 90)).join("");
        for (const byte of Buffer.from(`${line}\r\n`)) {
            assert.equal(buffer.next(), undefined);
            buffer.append(Buffer.from([byte]));
        }
        assert.equal(buffer.next(), line);
    });

    it("returns the lines before one that is too long, and nothing after it", () => {
        const buffer = createLineBuffer(10);
        buffer.append(Buffer.from("TERM\r\n12345678901\r\nTERM\r\n"));
        assert.equal(buffer.next(), "TERM");
        assert.equal(buffer.next(), undefined);
        assert.equal(buffer.isTooLong(), true);
        assert.equal(buffer.next(), undefined);
    });
});
