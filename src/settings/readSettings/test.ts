import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { gatewaySettingsSchema } from "../gatewaySettingsSchema/index.js";
import { readSettings } from "./index.js";

const folder = mkdtempSync(join(tmpdir(), "settings-"));
after(() => rmSync(folder, { recursive: true }));

function write(text: string): string {
    const file = join(folder, "gateway.jsonc");
    writeFileSync(file, text);
    return file;
}

const valid = `{
    // The gateway of the first VM.
    "name": "vm-1-gateway", "availabilityZone": "a", "region": "north",
    "listen": { "host": "127.0.0.1", "port": 7001 },
    "peerSecret": "sixteen-characters-or-more",
    "platform": { "host": "127.0.0.1", "port": 7000, "availabilityZone": "a" },
}`;

test("comments and trailing commas are read and defaults are filled in", () => {
    const settings = readSettings(write(valid), gatewaySettingsSchema);
    assert.equal(settings.name, "vm-1-gateway");
    assert.deepEqual(settings.seedGateways, []);
});

test("one error lists every problem with its line and key", () => {
    const text = valid.replace("7001", "\"7001\"").replace("\"peerSecret\"", "\"peerSecrets\"");
    assert.throws(() => readSettings(write(text), gatewaySettingsSchema), (error: Error & { kind: ErrorKind; }) => {
        assert.equal(error.kind, ErrorKind.InvalidSettings);
        assert.match(error.message, /gateway\.jsonc:4: `listen\.port`: .*expected number/);
        assert.match(error.message, /gateway\.jsonc:5: `peerSecrets`: unknown key/);
        assert.match(error.message, /gateway\.jsonc:1: `peerSecret`: .*expected string/);
        assert.match(error.message, /settings check/);
        return true;
    });
});

test("a file that is missing, empty or not JSON is a typed error with a remedy", () => {
    for (const file of [join(folder, "absent.jsonc"), write(""), write("{ \"name\": ")]) {
        assert.throws(() => readSettings(file, gatewaySettingsSchema), { kind: ErrorKind.InvalidSettings });
    }
});
