import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { describe, it } from "node:test";
import { listSourceFiles } from "../listSourceFiles/index.js";
import { findPlatformNames } from "./index.js";

describe("findPlatformNames", () => {
    it("finds none outside the adapter", () => {
        assert.deepEqual(findPlatformNames(listSourceFiles()), []);
    });

    it("finds one that is there", () => {
        const folder = mkdtempSync("src/nameCheck");
        try {
            const file = `${folder}/index.ts`;
            writeFileSync(file, `const role = entry.${["db", "Role"].join("")};\n`);
            assert.equal(findPlatformNames([file])[0]?.line, 1);
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });
});
