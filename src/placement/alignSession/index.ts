import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";
import { placementConstants } from "../constants.js";
import type { PooledSession } from "../types/PooledSession.js";

/** State that a caller's statement needs on the connection. */
interface ExpectedState {
    readonly values: ReadonlyMap<string, string>;
    /** The prepared statement that is executed, and its name on connections. */
    readonly prepared?: PreparedStatement & { readonly endpointName: string; };
}

/**
 * Lists the statements that bring a connection to the state that a caller's statement needs, and records their effect.
 *
 * Values that another caller set are cleared; values that already match are kept.
 *
 * @param pooled The connection and its recorded state.
 * @param expected The caller's values and the prepared statement.
 * @returns Yields statements to be sent, in order, before the caller's.
 *
 * @example
 * const statements = [...alignSession(pooled, { values: session.values }), statement];
 */
export function* alignSession(pooled: PooledSession, expected: ExpectedState): Generator<OutgoingStatement> {
    const { values, prepared } = expected;
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
