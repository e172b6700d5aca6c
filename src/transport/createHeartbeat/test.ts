import assert from "node:assert/strict";
import { test } from "node:test";
import { createHeartbeat } from "./index.js";

/** Answers the first `answers` pings; resolves with the pings sent when the heartbeat reports an unresponsive peer. */
function waitForSilence(options: { readonly hasPendingCalls: boolean; readonly answers: number; }): Promise<string[]> {
    const pings: string[] = [];
    return new Promise(resolve => {
        const heartbeat = createHeartbeat({
            hasPendingCalls: () => options.hasPendingCalls,
            ping: () => {
                pings.push("ping");
                if (pings.length <= options.answers) {
                    heartbeat.recordFrame();
                }
            },
            onUnresponsive: () => resolve(pings),
        });
    });
}

test("an unresponsive peer is reported after two unanswered pings, and an answer restarts the count", async () => {
    assert.deepEqual(await waitForSilence({ hasPendingCalls: true, answers: 0 }), ["ping", "ping"]);
    assert.deepEqual(await waitForSilence({ hasPendingCalls: true, answers: 1 }), ["ping", "ping", "ping"]);
});

test("a connection without pending calls is pinged less often", async () => {
    const first = await Promise.race([
        waitForSilence({ hasPendingCalls: false, answers: 0 }).then(() => "idle"),
        waitForSilence({ hasPendingCalls: true, answers: 0 }).then(() => "expecting"),
    ]);
    assert.equal(first, "expecting");
});
