import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { ExitCode } from "../types/ExitCode.js";
import { exitWithOutcome } from "./index.js";

async function runToExit(run: () => Promise<ExitCode>) {
    const codes: number[] = [];
    const errors: string[] = [];
    const control = {
        commandLineArguments: [],
        write: () => {},
        writeError: (text: string) => void errors.push(text),
        onStopSignal: () => {},
        exit: (code: number) => void codes.push(code),
    };
    await exitWithOutcome(control, run);
    return { codes, errors };
}

describe("exitWithOutcome", () => {
    it("exits with the command's code", async () => {
        assert.deepEqual(await runToExit(async () => ExitCode.Failure), { codes: [ExitCode.Failure], errors: [] });
    });

    it("reports a failure and exits with a code other than success", async () => {
        const { codes, errors } = await runToExit(() => {
            throw createError(ErrorKind.InvalidSettings, "No target is given.", { remedy: "Give one." });
        });
        assert.notEqual(codes[0], ExitCode.Success);
        assert.match(errors.join(""), /No target is given/);
    });
});
