import { EndpointCallKind } from "../../../endpoints/types/EndpointCallKind.js";
import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { createRefusal } from "../createRefusal/index.js";
import { parseCallContent } from "../parseCallContent/index.js";
import type { EndpointCore } from "../types/EndpointCore.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";

/** Handlers of the calls on one connection, except those for status watches, which `serveConnection` handles. */
type CallHandlers = Readonly<Partial<Record<EndpointCallKind, (content: unknown) => unknown>>>;

/**
 * Creates the handlers of the calls on one connection; they hold the connection's open transaction.
 *
 * @param core The endpoint's components.
 * @returns The handlers by kind of call; each returns or resolves with the answer's content.
 *
 * @example
 * const status = createCallHandlers(core)[EndpointCallKind.ReadStatus]?.({});
 */
export function createCallHandlers(core: EndpointCore): CallHandlers {
    const { runner, terms } = core;
    let transaction: OpenTransaction | undefined;

    function detachTransaction(): OpenTransaction {
        const detached = transaction;
        transaction = undefined;
        if (detached === undefined) {
            throw createRefusal(EndpointRefusal.NoTransaction, "No transaction is open on this connection.");
        }
        return detached;
    }

    async function execute(content: unknown): Promise<unknown> {
        const call = parseCallContent("execute", content);
        if (transaction === undefined) {
            core.countNewWork();
            return runner.execute(call);
        }
        const current = transaction;
        try {
            return await runner.executeInTransaction(current, call);
        }
        catch (error) {
            transaction = undefined;
            throw error;
        }
    }

    async function begin(content: unknown): Promise<unknown> {
        if (transaction !== undefined) {
            throw createRefusal(EndpointRefusal.StatementInvalid, "A transaction is already open on this connection.");
        }
        core.countNewWork();
        transaction = await runner.begin(parseCallContent("begin", content));
        return {
            result: undefined,
            term: terms.term(),
            position: transaction.snapshotPosition,
            isRepeated: false,
        };
    }

    function discardTransaction(): void {
        transaction = undefined;
    }

    return {
        [EndpointCallKind.Execute]: execute,
        [EndpointCallKind.Begin]: begin,
        [EndpointCallKind.Commit]: content =>
            runner.commit(detachTransaction(), parseCallContent("commit", content).requestKey),
        [EndpointCallKind.Rollback]: discardTransaction,
        [EndpointCallKind.Reset]: discardTransaction,
        [EndpointCallKind.Ping]: () => undefined,
        [EndpointCallKind.ReadStatus]: core.readStatus,
        [EndpointCallKind.Fence]: content => terms.fence(parseCallContent("term", content).term),
        [EndpointCallKind.Promote]: content => {
            terms.promote(parseCallContent("term", content).term);
            return core.readStatus();
        },
        [EndpointCallKind.Follow]: content => {
            const { term, primary } = parseCallContent("follow", content);
            if (core.settings.peers[primary] === undefined) {
                throw createRefusal(EndpointRefusal.StatementInvalid, `Endpoint ${primary} is not in this group.`);
            }
            terms.follow(term, primary);
        },
        [EndpointCallKind.WriteMarker]: content => runner.writeMarker(parseCallContent("term", content).term),
        [EndpointCallKind.CancelRequestKey]: content => {
            const { requestKey, term } = parseCallContent("cancelRequestKey", content);
            return runner.cancelRequestKey(requestKey, term);
        },
    };
}
