import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";

/**
 * Lists the statements that query whether an endpoint is the primary: only a primary begins a transaction that may write.
 * The transaction stays empty, so it uses no slot of the endpoint.
 *
 * @returns The statements; the answer to the first one tells the role.
 *
 * @example
 * const [begin] = await connection.exchange(listRoleQuery(), 400);
 */
export function listRoleQuery(): readonly [OutgoingStatement, OutgoingStatement] {
    return [{ kind: OutgoingKind.Begin, isReadOnly: false }, { kind: OutgoingKind.Rollback }];
}
