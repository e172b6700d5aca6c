import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { LimitedEndpoints } from "../types/LimitedEndpoints.js";

/** Options of `createLimitedEndpoints`. */
interface LimitedEndpointsOptions {
    readonly clock: Clock;
    /** Connections that each endpoint accepts. */
    readonly connectionLimit: number;
    /** Statements that each endpoint runs at once; the others wait for a slot. */
    readonly slots: number;
    readonly workMilliseconds: number;
    readonly openMilliseconds: number;
    /** Connections of lost VMs that each endpoint still counts, and for how long. */
    readonly darkConnections: number;
    readonly darkMilliseconds: number;
}

/** One endpoint: its open connections, and when each of its slots is free. */
interface EndpointState {
    openCount: number;
    readonly slotsFreeAt: number[];
}

/**
 * Creates fakes of endpoints for tests of connections under load.
 *
 * @param options Clock, limits and times in milliseconds.
 * @returns The endpoints, created on demand by id.
 *
 * @example
 * const endpoints = createLimitedEndpoints({ clock, connectionLimit: 21, slots: 3, ... });
 */
export function createLimitedEndpoints(options: LimitedEndpointsOptions): LimitedEndpoints {
    const { clock, connectionLimit, slots, workMilliseconds, openMilliseconds, darkConnections, darkMilliseconds } =
        options;
    const states = new Map<string, EndpointState>();
    let refusedCount = 0;

    function stateOf(id: string): EndpointState {
        let state = states.get(id);
        if (state === undefined) {
            state = { openCount: 0, slotsFreeAt: new Array<number>(slots).fill(0) };
            states.set(id, state);
        }
        return state;
    }

    function createSession(id: string, state: EndpointState): EndpointSession {
        const closeListeners: (() => void)[] = [];
        let isClosed = false;
        return {
            position: undefined,
            get isClosed() {
                return isClosed;
            },
            exchange: async () => {
                const slot = state.slotsFreeAt.indexOf(Math.min(...state.slotsFreeAt));
                const endsAt = Math.max(state.slotsFreeAt[slot]!, clock.now()) + workMilliseconds;
                state.slotsFreeAt[slot] = endsAt;
                await clock.sleep(endsAt - clock.now());
                return [{ rows: [], signature: id, state: SessionState.Idle }];
            },
            close: () => {
                if (!isClosed) {
                    isClosed = true;
                    state.openCount -= 1;
                    closeListeners.forEach(listener => listener());
                }
            },
            onClose: listener => closeListeners.push(listener),
        };
    }

    return {
        open: async ({ id }) => {
            const state = stateOf(id);
            const darkCount = clock.now() < darkMilliseconds ? darkConnections : 0;
            if (state.openCount + darkCount >= connectionLimit) {
                refusedCount += 1;
                throw createError(ErrorKind.ConnectionLimitReached, `Endpoint ${id} accepts no more connections.`, {
                    remedy: "Retry later.",
                });
            }
            state.openCount += 1;
            await clock.sleep(openMilliseconds);
            return createSession(id, state);
        },
        countRefused: () => refusedCount,
    };
}
