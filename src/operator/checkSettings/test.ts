import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { encodeVmSettings } from "../../platform/standIns/encodeVmSettings/index.js";
import { checkSettings } from "./index.js";

const addressOf = (port: number) => ({ host: "127.0.0.1", port, availabilityZone: "a" });
const vmSettings = {
    name: "vm-1",
    availabilityZone: "a",
    region: "north",
    regionsByZone: { a: "north" },
    callerAddress: addressOf(1),
    readinessAddress: addressOf(2),
    peerAddress: addressOf(3),
    storeAddress: addressOf(4),
    promotionAddress: addressOf(5),
    graceMilliseconds: 6_000,
};

describe("checkSettings", () => {
    const written: string[] = [];
    const control: ProcessControl = {
        words: [],
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

    it("accepts the settings of a VM on the platform", () => {
        writeFileSync(file, encodeVmSettings(vmSettings));
        assert.equal(checkSettings(file, "node", control), ExitCode.Success);
        assert.deepEqual(written, [`${file} is valid.\n`]);
    });

    it("names what is wrong with them", () => {
        writeFileSync(file, encodeVmSettings({ ...vmSettings, name: "" }));
        assert.throws(() => checkSettings(file, "tarragonpost-node", control), /vm\.toml: \w+: /);
    });

    it("names the programs when it does not know the one that is meant", () => {
        assert.throws(() => checkSettings(file, "gate", control), /tarragonpost-node/);
    });
});
