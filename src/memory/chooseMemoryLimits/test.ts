import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { memoryConstants } from "../constants.js";
import { chooseMemoryLimits } from "./index.js";

describe("chooseMemoryLimits", () => {
    it("gives callers a share of what the program does not need itself, within bounds", () => {
        const callerLimits = { sessionBytes: 2_097_152, answerBytes: 16_777_216 };
        const totalOf = (megabytes: number) =>
            chooseMemoryLimits({ megabytes, callerShare: 0.25, connectionBytes: 524_288 }, callerLimits).totalBytes;
        assert.equal(totalOf(250), 26_214_400);
        assert.equal(totalOf(350), 52_428_800);
        assert.equal(totalOf(100), memoryConstants.leastTotalBytes);
        assert.equal(totalOf(4_000), memoryConstants.mostTotalBytes);
    });
});
