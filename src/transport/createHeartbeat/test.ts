import assert from "node:assert/strict";
import { test } from "node:test";
import { createHeartbeat } from "./index.js";

/** Answers the first `answers` pings; resolves with the pings sent when the heartbeat reports an unresponsive peer. */
function waitForSilence(options: { readonly isExpecting: boolean; readonly answers: number; }): Promise<string[]> {
    const pings: string[] = [];
    return new Promise(resolve => {
        const heartbeat = createHeartbeat({
            hasPendingCalls: () => options.isExpecting,
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
    assert.deepEqual(await waitForSilence({ isExpecting: true, answers: 0 }), ["ping", "ping"]);
    assert.deepEqual(await waitForSilence({ isExpecting: true, answers: 1 }), ["ping", "ping", "ping"]);
});

test("a connection without pending calls is pinged less often", async () => {
    const first = await Promise.race([
        waitForSilence({ isExpecting: false, answers: 0 }).then(() => "idle"),
        waitForSilence({ isExpecting: true, answers: 0 }).then(() => "expecting"),
    ]);
    assert.equal(first, "expecting");
});
