import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { ErrorKind } from "../../../errors/types/ErrorKind.js";
import { createVmSettings } from "../../../testing/createVmSettings/index.js";
import { readVmSettings } from "../../readVmSettings/index.js";
import { encodeVmSettings } from "./index.js";

describe("encodeVmSettings", () => {
    it("gives a file from which the same settings are read, unless they are out of range", () => {
        const settings = createVmSettings();
        const folder = mkdtempSync(join(tmpdir(), "tarragonpost-"));
        try {
            const file = join(folder, "vm.toml");
            writeFileSync(file, encodeVmSettings(settings));
            assert.deepEqual(readVmSettings(file), settings);
            for (
                const changes of [{ megabytes: 32 }, { callerShare: 0.6 }, { connectionBytes: 100 }, {
                    connectionBytes: 1e9,
                }]
            ) {
                writeFileSync(file, encodeVmSettings({ ...settings, memory: { ...settings.memory, ...changes } }));
                assert.throws(() => readVmSettings(file), { kind: ErrorKind.InvalidSettings });
            }
            for (
                const changes of [
                    { maximumDescriptors: 100 },
                    { sessionBytes: 100 },
                    { answerBytes: 1e9 },
                    { progressMilliseconds: 0 },
                ]
            ) {
                const callerLimits = { ...settings.callerLimits, ...changes };
                writeFileSync(file, encodeVmSettings({ ...settings, callerLimits }));
                assert.throws(() => readVmSettings(file), { kind: ErrorKind.InvalidSettings });
            }
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });
});
