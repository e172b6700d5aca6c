import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { recordAnswer } from "./index.js";

const endpoint = createEndpointRecord({ id: "i-1", isPrimary: true });
const connection = { endpoint, isPrimary: true } as AcquiredConnection;

/** Records an answer of a primary that was announced with term 3. */
function record(position: { readonly term: number; readonly entry: number; }, isVerified: boolean) {
    const verification = {
        isVerified: () => isVerified,
        wasVerified: () => isVerified,
        verify: async () => isVerified,
    };
    const services = createSessionServices(createManualClock(), [endpoint], { verification });
    services.primaries.finishChange(endpoint.group, endpoint.id, 3);
    recordAnswer(connection, () => 10, { rows: [], state: SessionState.Idle, position }, services);
    return services.evidence.coveringPosition(endpoint.group, 10);
}

describe("recordAnswer", () => {
    it("records the position of a promoted primary before the first commit of its term", () => {
        assert.deepEqual(record({ term: 2, entry: 9 }, true), { term: 2, entry: 9 });
    });

    it("records no position of a primary that is not verified", () => {
        assert.equal(record({ term: 3, entry: 10 }, false), undefined);
    });
});
