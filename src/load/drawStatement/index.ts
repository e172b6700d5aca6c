import { OperationKind } from "../../history/types/OperationKind.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { LoadStatement } from "../types/LoadStatement.js";
import type { SessionState } from "../types/SessionState.js";

/**
 * Draws the next statement of a session.
 *
 * Lists belong to the session's caller; a pair of lists is written in one transaction and read in one statement.
 *
 * @param services Services that the sessions share.
 * @param session The session.
 * @returns The statement; a write has a value that is unique in the run.
 *
 * @example
 * const statement = drawStatement(services, session);
 */
export function drawStatement(services: LoadServices, session: SessionState): LoadStatement {
    const { plan, random, runName } = services;
    const isWrite = random.next() < plan.writeShare;
    const isPair = random.next() < plan.transactionShare;
    const list = `${runName}/${session.caller.name}/${isPair ? "pair" : "list"}-${random.nextInteger(plan.listCount)}`;
    const lists = isPair ? [`${list}/left`, `${list}/right`] : [list];
    if (!isWrite) {
        return { kind: isPair ? OperationKind.ReadPair : OperationKind.ReadList, lists };
    }
    session.writeCount += 1;
    const value = `${session.name}-${session.writeCount}`;
    return { kind: isPair ? OperationKind.AppendPair : OperationKind.Append, lists, value };
}
