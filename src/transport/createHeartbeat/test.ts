import assert from "node:assert/strict";
import { test } from "node:test";
import { createHeartbeat } from "./index.js";

/** Resolves with what a heartbeat did once it reported a silence; the first pings can be answered. */
function waitForSilence(options: { readonly isExpecting: boolean; readonly answers: number; }): Promise<string[]> {
    const seen: string[] = [];
    return new Promise(resolve => {
        const heartbeat = createHeartbeat({
            isExpecting: () => options.isExpecting,
            ping: () => {
                seen.push("ping");
                if (seen.length <= options.answers) {
                    heartbeat.beat();
                }
            },
            onSilence: () => resolve(seen),
        });
    });
}

test("a silence is reported after two unanswered pings, and an answer starts the count anew", async () => {
    assert.deepEqual(await waitForSilence({ isExpecting: true, answers: 0 }), ["ping", "ping"]);
    assert.deepEqual(await waitForSilence({ isExpecting: true, answers: 1 }), ["ping", "ping", "ping"]);
});

test("a connection that nobody waits for is pinged less often", async () => {
    const first = await Promise.race([
        waitForSilence({ isExpecting: false, answers: 0 }).then(() => "idle"),
        waitForSilence({ isExpecting: true, answers: 0 }).then(() => "expecting"),
    ]);
    assert.equal(first, "expecting");
});
