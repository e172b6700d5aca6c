import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { readVmSettings } from "../../readVmSettings/index.js";
import { encodeVmSettings } from "./index.js";

const addressOf = (port: number) => ({ host: "127.0.0.1", port, availabilityZone: "a" });

describe("encodeVmSettings", () => {
    it("writes what the program reads", () => {
        const settings = {
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
