import type { SessionServices } from "../../callerSessions/types/SessionServices.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createEndpointRecord } from "../createEndpointRecord/index.js";
import { createSessionServices } from "../createSessionServices/index.js";

/**
 * Creates the services of callers' sessions for tests, with an endpoint whose answers take a time.
 *
 * @param clock Source of time.
 * @param answerMilliseconds Time from a statement to its answer.
 * @returns The services.
 *
 * @example
 * const services = createSlowEndpointServices(clock, 60_000);
 */
export function createSlowEndpointServices(clock: Clock, answerMilliseconds: number): SessionServices {
    const endpoint = createEndpointRecord({ isPrimary: true });
    const connection: AcquiredConnection = {
        endpoint,
        isPrimary: true,
        pooled: { values: new Map(), prepared: new Map(), session: {} } as unknown as AcquiredConnection["pooled"],
        exchange: async statements => {
            await clock.sleep(answerMilliseconds);
            return statements.map(() => ({
                rows: [],
                signature: "i-1.1",
                failure: undefined,
                state: SessionState.InTransaction,
                position: undefined,
                replicaStatus: undefined,
            }));
        },
        release: () => {},
        discard: () => {},
    };
    const placement = { ...createSessionServices(clock, []).placement, acquire: async () => connection };
    return createSessionServices(clock, [endpoint], { placement });
}
