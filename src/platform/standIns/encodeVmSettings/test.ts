import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { createVmSettings } from "../../../testing/createVmSettings/index.js";
import { readVmSettings } from "../../readVmSettings/index.js";
import { encodeVmSettings } from "./index.js";

describe("encodeVmSettings", () => {
    it("gives a file from which the same settings are read", () => {
        const settings = createVmSettings();
        const folder = mkdtempSync(join(tmpdir(), "tarragonpost-"));
        try {
            const file = join(folder, "vm.toml");
            writeFileSync(file, encodeVmSettings(settings));
            assert.deepEqual(readVmSettings(file), settings);
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });
});
