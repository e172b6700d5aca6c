import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";
import { placementConstants } from "../constants.js";
import type { PooledSession } from "../types/PooledSession.js";

/** What a caller's statement expects of the connection. */
interface Expectation {
    readonly values: ReadonlyMap<string, string>;
    /** The prepared statement that it executes, and its name on connections. */
    readonly prepared?: PreparedStatement & { readonly endpointName: string; };
}

/**
 * Lists the statements that bring a connection to the state that a caller's statement expects, and notes their effect.
 *
 * Values that another caller set are cleared; those that are right already are left alone.
 *
 * @param pooled The connection and what was set on it.
 * @param expectation The caller's values and the prepared statement.
 * @returns Yields statements to be sent, in order, before the caller's.
 *
 * @example
 * const statements = [...alignSession(pooled, { values: session.values }), statement];
 */
export function* alignSession(pooled: PooledSession, expectation: Expectation): Generator<OutgoingStatement> {
    const { values, prepared } = expectation;
    const hasForeignValue = [...pooled.values.keys()].some(name => !values.has(name));
    if (hasForeignValue || pooled.prepared.size > placementConstants.preparedPerConnection) {
        pooled.values.clear();
        pooled.prepared.clear();
        yield { kind: OutgoingKind.Discard };
    }
    for (const [name, value] of values) {
        if (pooled.values.get(name) !== value) {
            pooled.values.set(name, value);
            yield { kind: OutgoingKind.SetValue, name, value };
        }
    }
    if (prepared !== undefined && !pooled.prepared.has(prepared.endpointName)) {
        const { endpointName, mode, shape } = prepared;
        pooled.prepared.add(endpointName);
        yield { kind: OutgoingKind.Prepare, name: endpointName, mode, shape };
    }
}
