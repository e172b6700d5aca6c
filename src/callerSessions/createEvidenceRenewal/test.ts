import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { createSessionContext } from "../createSessionContext/index.js";
import { findLeastPosition } from "../findLeastPosition/index.js";
import { createEvidenceRenewal } from "./index.js";

const endpoint = createEndpointRecord({ id: "i-1", isPrimary: true });
const route = createRoute({ guarantee: ReadGuarantee.BoundedStaleness, maximumStalenessMilliseconds: 1_500 });
const session = createSessionContext("shop");
const position = { term: 3, entry: 10 };

/** Creates a renewal whose primary answers after the given action. */
function createRenewal(beforeAnswer: (clock: ReturnType<typeof createManualClock>) => void) {
    const clock = createManualClock();
    const connection: AcquiredConnection = {
        endpoint,
        isPrimary: true,
        pooled: {} as AcquiredConnection["pooled"],
        exchange: async statements => {
            beforeAnswer(clock);
            return statements.map(() => ({ rows: [], state: SessionState.Idle, position }));
        },
        release: () => {},
        discard: () => {},
    };
    const base = createSessionServices(clock, [endpoint]);
    const services = { ...base, placement: { ...base.placement, acquire: async () => connection } };
    return { clock, services, renewal: createEvidenceRenewal(services) };
}

describe("createEvidenceRenewal", () => {
    it("does not let reads rely on evidence from before a suspension that the steady clock did not count", async () => {
        const { clock, services, renewal } = createRenewal(() => {});
        await renewal.renew("orders");
        assert.deepEqual(findLeastPosition(route, session, clock.now(), services), position);
        clock.suspend(5_000);
        assert.equal(findLeastPosition(route, session, clock.now(), services), undefined);
    });

    it("counts a suspension between the request and its answer as age of the evidence", async () => {
        const { clock, services, renewal } = createRenewal(({ suspend }) => suspend(5_000));
        await renewal.renew("orders");
        assert.equal(findLeastPosition(route, session, clock.now(), services), undefined);
    });
});
