import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { EventKind } from "../../events/types/EventKind.js";
import { createLogger } from "../../logging/createLogger/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createEntryReporter } from "../../status/createEntryReporter/index.js";
import { createStatusRegistry } from "../../status/createStatusRegistry/index.js";
import { ProcessKind } from "../../status/types/ProcessKind.js";
import type { StatusReport } from "../../status/types/StatusReport.js";
import { createConfigurationFleet } from "../../testing/createConfigurationFleet/index.js";
import type { ConfigurationFleet } from "../../testing/types/ConfigurationFleet.js";
import { createPeers } from "../../transport/createPeers/index.js";
import { describeVersionProgress } from "../describeVersionProgress/index.js";
import { runOperator } from "./index.js";

type Gateway = Awaited<ReturnType<ConfigurationFleet["add"]>>;

const folder = mkdtempSync(join(tmpdir(), "operator-"));
const clock = createSystemClock();
const fleet = createConfigurationFleet(2);
const gateways: Gateway[] = [];

before(async () => {
    for (let count = 0; count < 3; count += 1) {
        gateways.push(await fleet.add());
    }
});
after(async () => {
    await fleet.stop();
    rmSync(folder, { recursive: true });
});

function write(text: string): string {
    const file = join(folder, "file.jsonc");
    writeFileSync(file, text);
    return file;
}

const peer: PeerRecord = {
    name: "",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    region: "north",
    state: PeerState.Live,
    incarnation: 1,
};

function createControl(commandLineArguments: readonly string[], onWrite: (text: string) => void): ProcessControl {
    return {
        commandLineArguments,
        write: onWrite,
        writeError: () => {},
        onStopSignal: () => {},
        exit: () => {},
    };
}

function environment() {
    return {
        TARRAGONPOST_GATEWAY: `127.0.0.1:${gateways[0]!.address.port}`,
        TARRAGONPOST_PEER_SECRET: "secret-of-the-fleet",
    };
}

async function runCommand(
    ...commandLineArguments: string[]
): Promise<{ exitCode: ExitCode; output: string; errors: string; }> {
    let output = "";
    let errors = "";
    let exitCode: ExitCode | undefined;
    const control: ProcessControl = {
        ...createControl(commandLineArguments, text => {
            output += text;
        }),
        writeError: text => {
            errors += text;
        },
        exit: code => {
            exitCode = code;
        },
    };
    await runOperator(control, environment());
    return { exitCode: exitCode!, output, errors };
}

test("a patch is submitted, waited for, read back, listed and compared; its repetition is reported as such", async () => {
    const file = write("{ \"limits\": { \"requestBytes\": 1000 } } // smaller");
    const accepted = await runCommand("config", "patch", "--against", "0", "--id", "007", "--wait", file);
    assert.equal(accepted.exitCode, 0, accepted.errors);
    assert.match(accepted.output, /The patch 007 is version 1\.\n(.*\n)*Version 1 is in force in 3 of 3 processes\./);
    const repeated = await runCommand("config", "patch", "--against", "0", "--id=007", file);
    assert.match(repeated.output, /version 1\. It had been accepted before/);
    const current = JSON.parse((await runCommand("config", "get")).output) as { version: number; };
    assert.equal(current.version, 1);
    assert.match((await runCommand("config", "get", "--version-number", "0")).output, /"version": 0/);
    assert.match(
        (await runCommand("config", "history")).output,
        /^1 {2}\S+ {2}operator-\S+ {2}007 {2}limits\.requestBytes\n$/,
    );
    assert.deepEqual(JSON.parse((await runCommand("config", "diff", "0", "1")).output), {
        limits: { requestBytes: 1_000 },
    });
    assert.match((await runCommand("config", "status")).output, /Version 1 is in force in 3 of 3/);
});

const rejections: readonly [string[], ExitCode, RegExp][] = [
    [["config", "patch", "--against", "99", "FILE"], 1, /Conflict: .*config get/],
    [["config", "patch", "--against", "1", "FILE"], 2, /InvalidPatch: .*`limit`: unknown key/],
    [["config", "patch", "FILE"], 2, /--against is not a version number/],
    [["config", "patch", "--against", "1"], 2, /No patch file/],
    [["config", "get", "--version-number", "50"], 1, /no configuration version 50/],
    [["config", "toString"], 2, /--help/],
    [["nonsense"], 2, /--help/],
    [["status", "--colour"], 2, /--help/],
    [["settings", "check", "FILE", "--binary", "gateway"], 2, /`name`/],
    [["settings", "check", "FILE", "--binary", "oven"], 2, /tarragonpost-entry/],
    [["drain", "nobody"], 1, /No gateway that answers knows process nobody/],
];
for (const [commandLineArguments, exitCode, expected] of rejections) {
    test(`rejected with exit code ${exitCode}: ${commandLineArguments.join(" ")}`, async () => {
        const file = write("{ \"limit\": {} }");
        const outcome = await runCommand(...commandLineArguments.map(word => word === "FILE" ? file : word));
        assert.equal(outcome.exitCode, exitCode);
        assert.match(outcome.errors, expected);
    });
}

test("entries appear in the status and, in causal order, on the time line, and can be drained", async () => {
    const events = createEventRecorder("entry-1", clock);
    const identity = { name: "entry-1", availabilityZone: "a", peerSecret: "secret-of-the-fleet" };
    const peers = createPeers(identity, createUnemulatedNetwork("a"), events);
    let resolveStop = (): void => {};
    const stopRequested = new Promise<void>(resolve => {
        resolveStop = resolve;
    });
    const registry = createStatusRegistry({
        process: "entry-1",
        kind: ProcessKind.Entry,
        availabilityZone: "a",
        providers: [() => ({ version: 1, replicaReads: 19, primaryReads: 1 })],
        clock,
        requestStop: resolveStop,
    });
    const [first, second] = gateways;
    first!.events.record({ kind: EventKind.FailoverStarted, database: "stock", text: "The primary is silent." });
    const reporter = createEntryReporter({
        registry,
        events,
        localGateway: second!.address,
        otherGateways: [],
        peers,
        clock,
        logger: createLogger("entry-1", clock),
        requestStop: resolveStop,
    });
    events.observe(first!.events.stamp());
    events.record({ kind: EventKind.RequestFinished, database: "stock", requestId: "12e4", text: "Waited." });
    await reporter.start?.();
    while (!(await runCommand("status")).output.includes("entry-1")) {
        await clock.sleep(10);
    }
    const { output } = await runCommand("status");
    assert.match(output, /in force in 4 of 4/);
    assert.match(output, /entry-1 +Entry +a +Live +1/);
    assert.match(output, /Reads served by replicas: 95\.0% of 20/);
    assert.match(output, /Failover gaps running: stock \d+ ms/);
    const timelineLines = (await runCommand("timeline", "--database", "stock")).output.split("\n");
    assert.match(timelineLines[0] ?? "", /gateway-1 {2}FailoverStarted {2}stock/);
    assert.match(timelineLines[1] ?? "", /entry-1 {2}RequestFinished {2}stock {2}request 12e4 {2}Waited/);
    assert.match((await runCommand("timeline", "--request", "12e4")).output, /^[^\n]+Waited\.\n$/);
    assert.match(
        (await runCommand("timeline", "--version-number", "1")).output,
        /ConfigurationPatched(.*\n)+.*InForce/,
    );
    assert.equal((await runCommand("drain", "entry-1")).exitCode, 0);
    await stopRequested;
    await reporter.stop?.();
    await peers.stop();
});

test("a followed time line prints new events until it is interrupted", async () => {
    let interrupt = (): void => {};
    const printed = new Promise<void>(resolve => {
        const control = createControl(["timeline", "--database", "orders", "--follow"], text => {
            if (text.includes("Promoted orders-2.")) {
                resolve();
            }
        });
        control.onStopSignal = listener => {
            interrupt = listener;
            gateways[2]!.events.record({ kind: EventKind.Promoted, database: "orders", text: "Promoted orders-2." });
        };
        void runOperator(control, environment()).then(resolve);
    });
    await printed;
    interrupt();
});

test("a gateway that cannot be reached is an error with exit code 1", async () => {
    const outcome = await runCommand("--gateway", "127.0.0.1:1", "status");
    assert.equal(outcome.exitCode, 1);
    assert.match(outcome.errors, /Unreachable/);
});

test("gateways without an answer and processes with an older version are listed as missing", () => {
    const self = { ...peer, name: "vm-2-gateway" };
    const report = { process: "vm-1-gateway", version: 6 } as StatusReport;
    const { isEverywhere, line } = describeVersionProgress({
        gateways: [self],
        reports: [report],
        silentGateways: [self],
    }, 7);
    assert.equal(isEverywhere, false);
    assert.match(line, /in 0 of 2 processes; missing: vm-2-gateway \(no answer\), vm-1-gateway \(version 6\)\./);
});
