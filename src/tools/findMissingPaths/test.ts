import assert from "node:assert/strict";
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findMissingPaths } from "./index.js";

describe("findMissingPaths", () => {
    it("finds no missing path in the documentation", () => {
        const pages = readdirSync("docs", { recursive: true, encoding: "utf8" })
            .filter(file => file.endsWith(".md"))
            .map(file => join("docs", file));
        assert.ok(pages.length > 10);
        assert.deepEqual(findMissingPaths(["README.md", ...pages]), []);
    });

    it("finds a path that does not exist", () => {
        const folder = mkdtempSync(join(tmpdir(), "tarragonpost-"));
        try {
            const page = join(folder, "page.md");
            writeFileSync(page, "See `src/tools/findMissingPaths` and `src/tools/unknownTool` *a test*.");
            assert.deepEqual(findMissingPaths([page]), [{ page, path: "src/tools/unknownTool" }]);
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });
});
