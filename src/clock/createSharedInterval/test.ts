import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSharedInterval } from "./index.js";

describe("createSharedInterval", () => {
    it("calls all listeners with one timer, and stops it with the last of them", context => {
        context.mock.timers.enable({ apis: ["setInterval"] });
        const addListener = createSharedInterval(100);
        const calls: string[] = [];
        const removeFirst = addListener(() => calls.push("first"));
        const removeSecond = addListener(() => calls.push("second"));
        context.mock.timers.tick(100);
        removeFirst();
        context.mock.timers.tick(100);
        removeSecond();
        context.mock.timers.tick(1_000);
        addListener(() => calls.push("third"));
        context.mock.timers.tick(100);
        assert.deepEqual(calls, ["first", "second", "second", "third"]);
    });
});
