import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { loggingConstants } from "../constants.js";
import { createBoundedWriter } from "./index.js";

describe("createBoundedWriter", () => {
    it("drops lines above the rate and reports their number", async () => {
        const clock = createManualClock();
        const lines: string[] = [];
        const write = createBoundedWriter({ writableLength: 0, write: line => lines.push(line) }, clock, 10);
        for (let count = 0; count < loggingConstants.burstLines + 5; count += 1) {
            write("x\n");
        }
        assert.equal(lines.length, loggingConstants.burstLines);
        await clock.advance(1_000);
        write("y\n");
        assert.deepEqual(lines.slice(-2), [
            "{\"topic\":\"logging\",\"message\":\"lines were left out\",\"leftOut\":5}\n",
            "y\n",
        ]);
    });

    it("drops lines while a reader that stopped has too many bytes buffered", () => {
        const lines: string[] = [];
        const sink = {
            writableLength: loggingConstants.maximumBufferedBytes + 1,
            write: (line: string) => lines.push(line),
        };
        const write = createBoundedWriter(sink, createManualClock());
        write("x\n");
        assert.deepEqual(lines, []);
    });
});
