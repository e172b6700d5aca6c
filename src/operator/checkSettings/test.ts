import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { encodeVmSettings } from "../../platform/standIns/encodeVmSettings/index.js";
import { createVmSettings } from "../../testing/createVmSettings/index.js";
import { checkSettings } from "./index.js";

describe("checkSettings", () => {
    const written: string[] = [];
    const control: ProcessControl = {
        commandLineArguments: [],
        write: text => void written.push(text),
        writeError: () => {},
        onStopSignal: () => {},
        exit: () => {},
    };
    let file: string;
    let folder: string;
    before(() => {
        folder = mkdtempSync(join(tmpdir(), "tarragonpost-"));
        file = join(folder, "vm.toml");
    });
    after(() => rmSync(folder, { recursive: true }));

    it("accepts valid settings of a VM on the platform", () => {
        writeFileSync(file, encodeVmSettings(createVmSettings()));
        assert.equal(checkSettings(file, "node", control), ExitCode.Success);
        assert.deepEqual(written, [`${file} is valid.\n`]);
    });

    it("reports the invalid key of a VM's settings", () => {
        writeFileSync(file, encodeVmSettings(createVmSettings({ name: "" })));
        assert.throws(() => checkSettings(file, "tarragonpost-node", control), /vm\.toml: \w+: /);
    });

    it("lists the known programs when the given one is unknown", () => {
        assert.throws(() => checkSettings(file, "gate", control), /tarragonpost-node/);
    });
});
