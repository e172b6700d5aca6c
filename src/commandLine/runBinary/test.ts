import assert from "node:assert/strict";
import { test } from "node:test";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { ExitCode } from "../types/ExitCode.js";
import { runBinary } from "./index.js";

function createFakeProcess(...commandLineArguments: string[]) {
    let signal: (() => void) | undefined;
    const errors: string[] = [];
    const exits: ExitCode[] = [];
    const control = {
        commandLineArguments,
        write: () => {},
        writeError: (text: string) => void errors.push(text),
        onStopSignal: (listener: () => void) => {
            signal = listener;
        },
        exit: (code: ExitCode) => void exits.push(code),
    };
    return { control, errors, exits, sendSignal: () => signal?.() };
}

test("a signal stops the services once, a second one lists the work in flight, and the exit code is 0", async () => {
    const fake = createFakeProcess("--settings", "any.jsonc");
    const calls: string[] = [];
    let finishStop = (): void => {};
    await new Promise<void>(resolve => {
        const finished = runBinary({
            name: "test-binary",
            description: "Tests.",
            readSettings: file => ({ name: file }),
            createServices: () => [{
                name: ServiceName.Topology,
                dependencies: [],
                create: () => ({
                    start: async () => {
                        calls.push("start");
                        setImmediate(() => {
                            fake.sendSignal();
                            fake.sendSignal();
                            finishStop();
                        });
                    },
                    stop: () => {
                        calls.push("stop");
                        return new Promise<void>(stopped => {
                            finishStop = stopped;
                        });
                    },
                    describeWork: () => {
                        calls.push("describeWork");
                        return ["one transaction"];
                    },
                }),
            }],
        }, fake.control);
        void finished.then(resolve);
    });
    assert.deepEqual(calls, ["start", "stop", "describeWork"]);
    assert.deepEqual(fake.exits, [0]);
});

const failures: readonly [string, string[], ErrorKind | undefined, ExitCode][] = [
    ["no settings file", [], undefined, 2],
    ["an unknown option", ["--setings", "x"], undefined, 2],
    ["invalid settings", ["--settings", "x"], ErrorKind.InvalidSettings, 2],
    ["any other failure", ["--settings", "x"], ErrorKind.Unreachable, 1],
];
for (const [name, commandLineArguments, kind, exitCode] of failures) {
    test(`${name} exits with ${exitCode} and prints the remedy`, async () => {
        const fake = createFakeProcess(...commandLineArguments);
        await runBinary({
            name: "test-binary",
            description: "Tests.",
            readSettings: () => {
                throw createError(kind ?? ErrorKind.Unexpected, "It failed.", { remedy: "Mend it." });
            },
            createServices: () => [],
        }, fake.control);
        assert.deepEqual(fake.exits, [exitCode]);
        assert.match(fake.errors.join(""), kind === undefined ? /--settings FILE|--help/ : /It failed\. Mend it\./);
    });
}
