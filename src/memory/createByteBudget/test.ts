import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { memoryConstants } from "../constants.js";
import type { ByteBudget } from "../types/ByteBudget.js";
import { createByteBudget } from "./index.js";

const totalBytes = 1_000_000;
const connectionBytes = 200_000;
const { commandOverheadBytes, maximumCommands, pausedReadBytes, resumeCommands } = memoryConstants;

function createBudget() {
    const logged: unknown[] = [];
    const counts = { refusals: 0, pauses: 0 };
    let time = 0;
    const budget = createByteBudget({
        limits: { totalBytes, connectionBytes, stateBytes: 1_000, answerBytes: 1_000, sessionBytes: 1_000 },
        clock: { now: () => time },
        metrics: {
            countMemoryRefusal: () => {
                counts.refusals += 1;
            },
            countStateRefusal: () => {},
            countLongAnswer: () => {},
            countReadPause: () => {
                counts.pauses += 1;
            },
        },
        log: (_message, fields) => logged.push(fields?.["refused"]),
    });
    const advance = (milliseconds: number): void => {
        time += milliseconds;
    };
    return { budget, counts, logged, advance };
}

/** Opens an account whose connection notes what is done to it. */
function openNoting(budget: ByteBudget, canPause = true) {
    const notes: string[] = [];
    const note = (text: string) => (): void => void notes.push(text);
    const account = budget.open({
        canPause,
        pause: note("pause"),
        resume: note("resume"),
        deliverNext: note("deliver next"),
        refuse: note("refuse"),
        disconnect: note("disconnect"),
    });
    return { account, notes };
}

describe("createByteBudget", () => {
    it("pauses a connection with many commands, and resumes it once they are answered", () => {
        const { budget } = createBudget();
        const { account, notes } = openNoting(budget);
        for (let count = 1; count < maximumCommands; count += 1) {
            account.accept(10);
        }
        assert.deepEqual(notes, []);
        account.accept(10);
        assert.deepEqual(notes, ["pause"]);
        for (let count = maximumCommands; count > resumeCommands; count -= 1) {
            assert.deepEqual(notes, ["pause"]);
            account.release(10);
        }
        assert.deepEqual(notes, ["pause", "resume"]);
        assert.equal(budget.heldBytes(), resumeCommands * (10 + commandOverheadBytes));
    });

    it("pauses a connection that holds its share in one command", () => {
        const { budget } = createBudget();
        const { account, notes } = openNoting(budget);
        account.accept(connectionBytes);
        assert.deepEqual(notes, ["pause"]);
        account.release(connectionBytes);
        assert.deepEqual(notes, ["pause", "resume"]);
        assert.equal(budget.heldBytes(), 0);
    });

    it("pauses only connections that hold much in a shortage, until commands are answered", () => {
        const { budget } = createBudget();
        const busy = [1, 2, 3].map(() => openNoting(budget));
        busy.forEach(({ account }) => account.accept(180_000));
        const half = openNoting(budget);
        half.account.report(50_000, 0);
        const small = openNoting(budget);
        small.account.report(100, 0);
        assert.equal(small.account.accept(100), true);
        assert.deepEqual(half.notes, ["pause"]);
        assert.deepEqual(small.notes, []);
        busy.forEach(({ account }) => account.release(180_000));
        assert.deepEqual(half.notes, ["pause", "resume"]);
    });

    it("never pauses for a shortage that no answer would end", () => {
        const { budget } = createBudget();
        const halves = Array.from({ length: 9 }, () => openNoting(budget));
        halves.forEach(({ account }) => account.report(100_000, 0));
        assert.deepEqual(halves.flatMap(({ notes }) => notes), []);
        assert.equal(budget.heldBytes(), 900_000);
    });

    it("refuses the connection that holds most when messages received in part fill the total", () => {
        const { budget, counts } = createBudget();
        const greediest = openNoting(budget);
        greediest.account.report(300_000, 0);
        const others = Array.from({ length: 8 }, () => openNoting(budget));
        others.forEach(({ account }) => account.report(100_000, 0));
        assert.deepEqual(greediest.notes, ["refuse"]);
        assert.deepEqual(others.flatMap(({ notes }) => notes), []);
        assert.equal(budget.heldBytes(), 800_000);
        assert.equal(counts.refusals, 1);
        assert.equal(greediest.account.accept(1), false);
    });

    it("disconnects a peer that does not take its answers when the total is filled", () => {
        const { budget } = createBudget();
        const slowReader = openNoting(budget);
        slowReader.account.report(0, 600_000);
        assert.deepEqual(slowReader.notes, ["pause"]);
        openNoting(budget).account.report(500_000, 0);
        assert.deepEqual(slowReader.notes, ["pause", "disconnect"]);
    });

    it("refuses a large command for which there is no room, and accepts a small one", () => {
        const { budget } = createBudget();
        Array.from({ length: 9 }, () => openNoting(budget, false).account.accept(100_000));
        const large = openNoting(budget, false);
        assert.equal(large.account.accept(150_000), false);
        assert.deepEqual(large.notes, ["refuse"]);
        assert.equal(openNoting(budget).account.accept(100), true);
    });

    it("holds no more than the total, whatever connections do, and nothing after their end", () => {
        const { budget } = createBudget();
        const connections = Array.from({ length: 40 }, () => openNoting(budget));
        for (let step = 0; step < 4_000; step += 1) {
            const { account, notes } = connections[step * 7 % connections.length]!;
            const bytes = 5_000 + step * 7_919 % 150_000;
            if (notes.at(-1) !== "pause") {
                account.report(bytes, 0);
                if (step % 3 === 0 && account.accept(bytes)) {
                    account.report(0, 0);
                }
            }
            assert.ok(budget.heldBytes() <= totalBytes + pausedReadBytes, `step ${step}: ${budget.heldBytes()}`);
        }
        connections.forEach(({ account }) => account.releaseAll());
        assert.equal(budget.heldBytes(), 0);
        assert.equal(budget.pausedCount(), 0);
    });

    it("delivers what was received in full before a connection counts as idle", () => {
        const { budget } = createBudget();
        const short = openNoting(budget, false);
        short.account.accept(600_000);
        const { account, notes } = openNoting(budget);
        account.report(20_000, 0);
        account.accept(100);
        account.release(100);
        assert.deepEqual(notes, ["pause", "deliver next"]);
    });

    it("writes at most one line a second on refusals, with their number", () => {
        const { budget, logged, advance } = createBudget();
        for (let count = 0; count < 5; count += 1) {
            openNoting(budget).account.report(totalBytes + 1, 0);
        }
        advance(memoryConstants.logIntervalMilliseconds);
        openNoting(budget).account.report(totalBytes + 1, 0);
        assert.deepEqual(logged, [1, 5]);
    });
});
