import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { countCodeLines } from "../countCodeLines/index.js";
import { runUnitTests } from "../runUnitTests/index.js";
import { reportTests } from "./index.js";

const projectFolder = process.cwd();
const lines: string[] = [];
const report = (tallies: Parameters<typeof reportTests>[0]) => reportTests(tallies, line => lines.push(line));

/** Used in place of hooks, because the test runs that a test starts would call the hooks too. */
async function inFolder(run: (folder: string) => Promise<void> | void): Promise<void> {
    const folder = mkdtempSync(join(tmpdir(), "tools-"));
    process.chdir(folder);
    try {
        await run(folder);
    }
    finally {
        process.chdir(projectFolder);
        rmSync(folder, { recursive: true });
    }
}

const entry = "# Faults not mended yet.\n\ntest: a known fault\ncommand: npm test\nseen: a late answer\n";

test("only a failure that is listed by its exact name is passed over", () =>
    inFolder(() => {
        const tally = { runner: "node:test", passed: 1, failures: ["a known fault"] };
        assert.equal(report([tally]), false);
        writeFileSync("KNOWN-RED.txt", entry);
        assert.equal(report([tally]), true);
        assert.ok(lines.some(line => line.includes("failed, passed over")));
        assert.equal(report([{ ...tally, failures: ["a known fault", "another fault"] }]), false);
        assert.equal(report([{ ...tally, failures: ["a known fault of another kind"] }]), false);
    }));

test("a runner that ran no test, and an entry without a test's name, fail the run", () =>
    inFolder(() => {
        assert.equal(report([{ runner: "cucumber", passed: 0, failures: [] }]), false);
        writeFileSync("KNOWN-RED.txt", "seen: something\n");
        assert.throws(() => report([]), /no line `test: NAME`/);
    }));

test("failing tests, failing files and nested failures are tallied by name", () =>
    inFolder(async folder => {
        process.chdir(projectFolder);
        delete process.env["NODE_TEST_CONTEXT"];
        const [red, broken] = [join(folder, "red.mjs"), join(folder, "broken.mjs")];
        writeFileSync(
            red,
            `import { test } from "node:test";
        test("green", () => {});
        test("outer", t => t.test("inner", () => { throw new Error("red"); }));`,
        );
        writeFileSync(broken, "this is not JavaScript");
        const { passed, failures } = await runUnitTests([red, broken], { output: new PassThrough().resume() });
        assert.equal(passed, 1);
        assert.equal(failures.length, 2);
        assert.ok(failures.includes("inner"));
        assert.ok(failures.some(name => name.includes("broken.mjs")));
    }));

test("blank lines and comments are not counted as code", () => {
    assert.equal(countCodeLines("/**\n * One.\n */\n\n// Two.\nconst a = 1;\n/* three */\nconst b = 2; // four\n"), 2);
});
