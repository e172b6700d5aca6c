import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { describe, it } from "node:test";
import { listSourceFiles } from "../listSourceFiles/index.js";
import { findPlatformNames } from "./index.js";

describe("findPlatformNames", () => {
    it("finds no platform name outside the platform adapter", () => {
        assert.deepEqual(findPlatformNames(listSourceFiles()), []);
    });

    it("finds a platform name in a file that uses one", () => {
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
