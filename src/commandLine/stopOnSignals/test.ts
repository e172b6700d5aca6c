import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { ExitCode } from "../types/ExitCode.js";
import { stopOnSignals } from "./index.js";

const longestStopMilliseconds = 5_700;

/** Signals a kernel whose stop lasts as long as the given promise. */
function startStop(kernelStopped: Promise<void>) {
    const clock = createManualClock();
    const messages: string[] = [];
    const exitCodes: ExitCode[] = [];
    let sendSignal = (): void => {};
    const stopped = stopOnSignals({ get: () => assert.fail(), start: async () => {}, stop: () => kernelStopped }, {
        control: {
            commandLineArguments: [],
            write: () => {},
            writeError: () => {},
            exit: () => {},
            onStopSignal: listener => {
                sendSignal = listener;
            },
        },
        clock,
        longestStopMilliseconds,
        serviceNames: [],
        events: undefined,
        log: message => messages.push(message),
    });
    void stopped.then(code => exitCodes.push(code));
    sendSignal();
    return { clock, messages, exitCodes };
}

describe("stopOnSignals", () => {
    it("ends before the process is killed although a service never stops", async () => {
        const { clock, messages, exitCodes } = startStop(new Promise(() => {}));
        await clock.advance(longestStopMilliseconds - 1);
        assert.deepEqual(exitCodes, []);
        await clock.advance(1);
        assert.deepEqual(exitCodes, [ExitCode.Failure]);
        assert.match(messages.at(-1)!, /given up/);
    });

    it("ends with success as soon as all services have stopped", async () => {
        const { clock, exitCodes } = startStop(Promise.resolve());
        await clock.advance(0);
        assert.deepEqual(exitCodes, [ExitCode.Success]);
    });
});
