import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { Verifiability } from "../../primaries/types/Verifiability.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
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
        verifiabilityOf: () => Verifiability.Possible,
        verify: async () => isVerified,
    };
    const services = createSessionServices(createManualClock(), [endpoint], { verification });
    services.primaries.finishChange(endpoint.group, endpoint.id, 3);
    const answer = { rows: [], state: SessionState.Idle, position };
    recordAnswer(connection, { answer, sinceSent: () => 10, needsPrimary: false }, services);
    return services.evidence.coveringPosition(endpoint.group, 10);
}

describe("recordAnswer", () => {
    it("records the position of a promoted primary before the first commit of its term", () => {
        assert.deepEqual(record({ term: 2, entry: 9 }, true), { term: 2, entry: 9 });
    });

    it("records no position of a primary that is not verified", () => {
        assert.equal(record({ term: 3, entry: 10 }, false), undefined);
    });

    it("takes the term of an answer for that of a primary only if a primary alone gives it", () => {
        const { primaries, ...services } = createSessionServices(createManualClock(), [endpoint]);
        const receive = (term: number, needsPrimary: boolean, failure?: StatementAnswer["failure"]): void => {
            const answer = {
                rows: [],
                state: SessionState.Idle,
                position: { term, entry: 5 },
                ...failure && { failure },
            };
            recordAnswer(connection, { answer, sinceSent: () => 10, needsPrimary }, { ...services, primaries });
        };
        receive(1, true);
        receive(2, false);
        assert.ok(primaries.isSuperseded(endpoint), "a read, which a replica answers, too");
        receive(2, true, { code: FailureCode.ReadOnly, description: endpoint.id });
        assert.ok(primaries.isSuperseded(endpoint), "a refused write");
        receive(2, true);
        assert.equal(primaries.isSuperseded(endpoint), false);
    });
});
