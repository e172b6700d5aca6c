import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { createSessionContext } from "../createSessionContext/index.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import { recordAcquisitionTimeout } from "./index.js";

describe("recordAcquisitionTimeout", () => {
    it("counts the failure and logs the known state of the group when no connection became available", async () => {
        const clock = createManualClock();
        const lines: (readonly [string, unknown])[] = [];
        const services = createSessionServices(clock, [], { log: (message, fields) => lines.push([message, fields]) });
        const statement: CallerStatement = {
            id: "q1",
            statement: { kind: StatementKind.Read, text: "READ a" },
            mode: AccessMode.Read,
            route: createRoute(),
            session: createSessionContext("shop"),
            receivedAt: clock.now(),
            expiresAt: clock.now() + 1_000,
        };
        await clock.advance(600);
        recordAcquisitionTimeout(statement, { requestKind: "transaction", isReadOnly: true, reason: "full" }, services);
        const [message, fields] = lines[0]!;
        assert.equal(message, "transaction refused: no connection available in time");
        const expected = { id: "q1", isReadOnly: true, group: "orders", waitedMilliseconds: 600, reason: "full" };
        assert.deepEqual({ ...fields as object, ...expected }, fields);
        assert.match(await services.metrics.render(), /tarragonpost_unplaced_total 1/);
    });
});
