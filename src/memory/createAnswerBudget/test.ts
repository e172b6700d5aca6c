import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createAnswerBudget } from "./index.js";

describe("createAnswerBudget", () => {
    it("reads only the connection that began first while answers fill the budget", () => {
        const { openAnswers } = createAnswerBudget(100);
        const notes: string[] = [];
        const open = (name: string) =>
            openAnswers({ pause: () => notes.push(`pause ${name}`), resume: () => notes.push(`resume ${name}`) });
        const [first, second, third] = [open("first"), open("second"), open("third")];
        first.add(60);
        second.add(60);
        third.add(60);
        first.add(100);
        assert.deepEqual(notes.splice(0), ["pause second", "pause third"]);
        first.release();
        assert.deepEqual(notes.splice(0), ["resume second"]);
        second.add(10);
        second.release();
        assert.deepEqual(notes.splice(0), ["resume third"]);
        third.release();
        third.release();
        first.add(100);
        assert.deepEqual(notes, []);
    });
});
