import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConnectionLoss } from "../types/ConnectionLoss.js";
import { createConnectionAdmission } from "./index.js";

const idleMilliseconds = 1_000;

function createAdmission() {
    const losses: ConnectionLoss[] = [];
    const logged: unknown[] = [];
    const closed: string[] = [];
    let time = 0;
    const admission = createConnectionAdmission({
        maximumConnections: 2,
        idleMilliseconds,
        clock: { now: () => time },
        metrics: { countConnectionLoss: loss => losses.push(loss) },
        log: (_message, fields) => logged.push(fields?.["last"]),
    });
    const admit = (name: string, isBusy = false) =>
        admission.admit({ isBusy: () => isBusy, disconnect: () => closed.push(name) });
    const advance = (milliseconds: number): void => {
        time += milliseconds;
    };
    return { admit, losses, closed, logged, advance };
}

describe("createConnectionAdmission", () => {
    it("gives the place of the oldest connection without a session to a new one", () => {
        const { admit, closed, losses } = createAdmission();
        admit("first")?.recordOpened();
        admit("second");
        assert.notEqual(admit("third"), undefined);
        assert.notEqual(admit("fourth"), undefined);
        assert.deepEqual(closed, ["second", "third"]);
        assert.deepEqual(losses, [ConnectionLoss.Unopened, ConnectionLoss.Unopened]);
    });

    it("closes the session that was idle longest, none that is busy or was active lately", () => {
        const { admit, closed, losses, logged, advance } = createAdmission();
        const first = admit("first")!;
        const second = admit("second")!;
        first.recordOpened();
        second.recordOpened();
        assert.equal(admit("third"), undefined);
        advance(idleMilliseconds);
        first.recordActivity();
        const third = admit("third")!;
        third.recordOpened();
        assert.deepEqual(closed, ["second"]);
        assert.equal(admit("fourth"), undefined);
        assert.deepEqual(losses, [ConnectionLoss.Refused, ConnectionLoss.Idle, ConnectionLoss.Refused]);
        assert.deepEqual(logged, [ConnectionLoss.Refused, ConnectionLoss.Idle]);
        first.release();
        assert.notEqual(admit("fourth"), undefined);
    });

    it("keeps a busy session, however long ago it was active", () => {
        const { admit, closed, advance } = createAdmission();
        admit("first", true)!.recordOpened();
        admit("second")!.recordOpened();
        advance(idleMilliseconds);
        assert.notEqual(admit("third"), undefined);
        assert.deepEqual(closed, ["second"]);
    });
});
