import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { callerSessionConstants } from "../../callerSessions/constants.js";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import { createPlatformStandIn } from "../../platform/standIns/createPlatformStandIn/index.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { blockEventLoop } from "../../testing/blockEventLoop/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { startVm } from "../../testing/startVm/index.js";
import { waitUntilTrue } from "../../testing/waitUntilTrue/index.js";

const callerCount = 24;
const graceMilliseconds = 2_000;
/** Time after the signal to stop at which sessions that are idle are closed. */
const idleCloseMilliseconds = callerSessionConstants.idleCloseGraceShare * graceMilliseconds;
/** A connection that ends this soon after a statement was sent may have crossed it on its way. */
const crossingMilliseconds = 200;
/** Time after which a caller that was refused connects again. */
const redialMilliseconds = 10;
const statements = ["READ a", "WRITE a b", "BEGIN", "READ a", "WRITE c d", "COMMIT"];

/** A statement whose connection ended before its answer. */
interface UnansweredStatement {
    readonly id: string;
    readonly text: string;
    /** Time from the statement to the end of its connection. */
    readonly openMilliseconds: number;
}

/** Sends statements without a pause until the VM accepts no more connections; returns those without an answer. */
async function runCaller(port: number): Promise<readonly UnansweredStatement[]> {
    const unanswered: UnansweredStatement[] = [];
    for (;;) {
        const { caller, opening } = await createCallerStandIn(port, "counter");
        if (opening.state === undefined) {
            return unanswered;
        }
        for (let count = 0;; count += 1) {
            const text = statements[count % statements.length]!;
            const sentAt = performance.now();
            const { state } = await caller.run(text);
            if (state === undefined) {
                const openMilliseconds = performance.now() - sentAt;
                unanswered.push({ id: caller.lastId(), text, openMilliseconds });
                break;
            }
        }
    }
}

describe("createVmServer", () => {
    it("answers each statement that it passed on, while it stops under callers that never pause", async () => {
        const platform = await createPlatformStandIn({ group: "orders", zones: ["a", "b"], promotionMilliseconds: 60 });
        platform.configure(7, [createRoute({ database: "counter" })]);
        const vm = await startVm("vm-1", platform, { graceMilliseconds });
        await waitUntilTrue("the VM is ready", vm.isReady);
        const callers = Array.from({ length: callerCount }, () => runCaller(vm.settings.callerAddress.port));
        await waitUntilTrue("the callers are served", () => platform.executedStatements.length > 10 * callerCount);
        await vm.stop();
        const unanswered = (await Promise.all(callers)).flat();
        const executed = new Set(platform.executedStatements.map(({ id }) => id));
        assert.deepEqual(
            unanswered.filter(({ id, openMilliseconds }) =>
                executed.has(id) || openMilliseconds >= crossingMilliseconds
            ),
            [],
        );
        platform.stop();
    });

    it("answers a statement that arrived while the event loop stood still, before sessions were found idle", async () => {
        const platform = await createPlatformStandIn({ group: "orders", zones: ["a", "b"], promotionMilliseconds: 60 });
        platform.configure(7, [createRoute({ database: "counter" })]);
        const vm = await startVm("vm-1", platform, { graceMilliseconds });
        await waitUntilTrue("the VM is ready", vm.isReady);
        const { caller } = await createCallerStandIn(vm.settings.callerAddress.port, "counter");
        assert.notEqual((await caller.run("READ a")).state, undefined);
        const stopped = vm.stop();
        await createSystemClock().sleep(idleCloseMilliseconds - 100);
        await nextTurn();
        const answer = caller.run("READ a");
        blockEventLoop(300);
        const { state } = await answer;
        await stopped;
        platform.stop();
        assert.equal(state, SessionState.Idle);
    });

    it("ends with the last session that it accepted, although callers that it refuses connect again and again", async () => {
        const platform = await createPlatformStandIn({ group: "orders", zones: ["a", "b"], promotionMilliseconds: 60 });
        platform.configure(7, [createRoute({ database: "counter" })]);
        const vm = await startVm("vm-1", platform, { graceMilliseconds });
        await waitUntilTrue("the VM is ready", vm.isReady);
        let isStopped = false;
        const callers = Array.from({ length: callerCount }, async () => {
            while (!isStopped) {
                await runCaller(vm.settings.callerAddress.port);
                await createSystemClock().sleep(redialMilliseconds);
            }
        });
        const startedAt = performance.now();
        await vm.stop();
        const stopMilliseconds = performance.now() - startedAt;
        isStopped = true;
        await Promise.all(callers);
        platform.stop();
        const sessionsEndMilliseconds = callerSessionConstants.closeGraceShare * graceMilliseconds;
        assert.ok(stopMilliseconds < sessionsEndMilliseconds, `the stop took ${stopMilliseconds} ms`);
    });
});
