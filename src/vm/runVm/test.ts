import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { encodeVmSettings } from "../../platform/standIns/encodeVmSettings/index.js";
import { createVmSettings } from "../../testing/createVmSettings/index.js";
import { waitUntilTrue } from "../../testing/waitUntilTrue/index.js";

const reloadSignalBit = 1n;

/** Whether a process has a listener for the signal that its settings have changed. */
function catchesReloadSignal(processId: number): boolean {
    const [, mask = "0"] = /^SigCgt:\s+(\w+)$/m.exec(readFileSync(`/proc/${processId}/status`, "latin1")) ?? [];
    return (BigInt(`0x${mask}`) & reloadSignalBit) !== 0n;
}

describe("the program of a VM", () => {
    it("is not ended by the signal that its settings have changed while it is being loaded", async () => {
        const folder = mkdtempSync(join(tmpdir(), "tarragonpost-run-vm-"));
        const settingsFile = join(folder, "vm.toml");
        writeFileSync(settingsFile, encodeVmSettings(createVmSettings()));
        const child = spawn(process.execPath, ["--import", "tsx", "src/binaries/node/index.ts"], {
            env: { ...process.env, TARRAGONPOST_SETTINGS: settingsFile },
            stdio: ["ignore", "pipe", "inherit"],
        });
        let output = "";
        child.stdout.on("data", (chunk: Buffer) => {
            output += chunk.toString();
        });
        await waitUntilTrue("the process has a listener", () => catchesReloadSignal(child.pid!));
        const outputBefore = output;
        child.kill("SIGHUP");
        await waitUntilTrue(
            "the process has started or ended",
            () => output !== "" || (child.signalCode ?? undefined) !== undefined,
        );
        const signalCode = child.signalCode ?? undefined;
        child.kill("SIGKILL");
        rmSync(folder, { recursive: true });
        assert.deepEqual([outputBefore, signalCode], ["", undefined]);
    });
});
