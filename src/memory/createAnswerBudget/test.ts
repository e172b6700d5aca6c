import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createAnswerBudget } from "./index.js";

const answerBytes = 200;

function createBudget() {
    let longAnswers = 0;
    const { openAnswers } = createAnswerBudget({
        limits: { totalBytes: 100, answerBytes },
        clock: { now: () => 0 },
        metrics: {
            countLongAnswer: () => {
                longAnswers += 1;
            },
        },
        log: () => {},
    });
    return { openAnswers, countLongAnswers: () => longAnswers };
}

describe("createAnswerBudget", () => {
    it("closes a connection whose answers are longer than allowed, and goes on with the others", () => {
        const { openAnswers, countLongAnswers } = createBudget();
        const notes: string[] = [];
        const open = (name: string) =>
            openAnswers({
                pause: () => notes.push(`pause ${name}`),
                resume: () => notes.push(`resume ${name}`),
                destroy: () => notes.push(`destroy ${name}`),
            });
        const [long, short] = [open("long"), open("short")];
        long.add(answerBytes);
        short.add(1);
        long.add(1);
        assert.deepEqual(notes, ["pause short", "resume short", "destroy long"]);
        assert.equal(countLongAnswers(), 1);
    });

    it("reads only the connection that began first while answers fill the budget", () => {
        const { openAnswers } = createBudget();
        const notes: string[] = [];
        const open = (name: string) =>
            openAnswers({
                pause: () => notes.push(`pause ${name}`),
                resume: () => notes.push(`resume ${name}`),
                destroy: () => {},
            });
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
