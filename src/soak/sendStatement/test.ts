import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { CallerAnswer } from "../../platform/standIns/types/CallerAnswer.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { SoakSession } from "../types/SoakSession.js";
import type { UnansweredStatement } from "../types/UnansweredStatement.js";
import { sendStatement } from "./index.js";

async function sendAndListUnanswered(answer: CallerAnswer): Promise<readonly UnansweredStatement[]> {
    const unanswered: UnansweredStatement[] = [];
    const session: SoakSession = {
        name: "s1",
        vm: 2,
        guarantee: ReadGuarantee.Primary,
        caller: {
            run: () => Promise.resolve(answer),
            sendRaw: () => {},
            nextAnswer: () => Promise.resolve(answer),
            lastId: () => "q1",
            closed: Promise.resolve(),
            close: () => {},
        },
        prepared: { read: "fetch", write: "store" },
        maximumTransactionPauseMilliseconds: 0,
        onUnanswered: statement => unanswered.push(statement),
    };
    assert.equal((await sendStatement(session, "READ a", createSystemClock())).id, "q1");
    return unanswered;
}

describe("sendStatement", () => {
    it("reports a statement whose connection ended before the end of its answer", async () => {
        const unanswered = await sendAndListUnanswered({ rows: ["one"] });
        assert.deepEqual(unanswered.map(({ id, vm }) => [id, vm]), [["q1", 2]]);
    });

    it("reports no statement that was answered", async () => {
        assert.deepEqual(await sendAndListUnanswered({ rows: [], state: SessionState.Idle }), []);
    });
});
