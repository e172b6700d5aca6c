import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SiteProcess } from "../types/SiteProcess.js";
import { createExitWatch } from "./index.js";

function createProcess(exited: Promise<string>): SiteProcess {
    return { name: "stock-1", processId: 7, exited, signal: () => {}, output: () => "EADDRINUSE" };
}

const neverEnding = new Promise<void>(() => {});

describe("createExitWatch", () => {
    it("names the process that failed during a start, in place of a timeout of what waits for it", async () => {
        const exits = createExitWatch();
        exits.watch(createProcess(Promise.resolve("1")));
        await assert.rejects(exits.waitFor(neverEnding), /stock-1 exited with 1: EADDRINUSE/);
        assert.equal(exits.unexpectedExits.length, 1);
    });

    it("counts neither a graceful stop nor an end by a signal as a failure", async () => {
        const exits = createExitWatch();
        const outcomes = ["0", "SIGKILL"].map(outcome => Promise.resolve(outcome));
        outcomes.forEach(exited => exits.watch(createProcess(exited)));
        assert.equal(await exits.waitFor(Promise.all(outcomes).then(() => "served")), "served");
        assert.deepEqual(exits.unexpectedExits, []);
    });
});
