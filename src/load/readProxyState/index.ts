import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { FinalState } from "../../history/types/FinalState.js";
import { OperationKind } from "../../history/types/OperationKind.js";
import { ReadGuarantee } from "../../history/types/ReadGuarantee.js";
import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { loadConstants } from "../constants.js";
import { performRead } from "../performRead/index.js";
import { readListResult } from "../readListResult/index.js";
import type { LoadServices } from "../types/LoadServices.js";

/**
 * Reads every list in the history through the proxy and without a session token, after the load has ended.
 *
 * @param services Services that the sessions shared.
 * @param database The database to read.
 * @returns The lists as callers read them now.
 * @throws TarragonpostError of kind `DeadlineExceeded` when a list could not be read.
 *
 * @example
 * const state = await readProxyState(services, "stock");
 */
export async function readProxyState(services: LoadServices, database: string): Promise<FinalState> {
    const lists = new Map<string, readonly string[]>();
    const operationByList = new Map<string, RecordedOperation>();
    for (const operation of services.history.operations) {
        if (operation.database === database) {
            operation.lists.forEach(list => operationByList.set(list, operation));
        }
    }
    const queue = [...operationByList];
    async function readAll(): Promise<void> {
        for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
            const [list, operation] = next;
            lists.set(list, await readList(services, list, operation));
        }
    }
    await Promise.all(Array.from({ length: loadConstants.finalReadConcurrency }, readAll));
    return { database, source: "the proxy", lists };
}

async function readList(
    services: LoadServices,
    list: string,
    operation: RecordedOperation,
): Promise<readonly string[]> {
    const { clock, random, target } = services;
    const caller = target.callers.find(each => each.name === operation.caller);
    let reason: string | undefined;
    for (let attempt = 0; caller !== undefined && attempt < loadConstants.maximumFinalReadAttempts; attempt += 1) {
        const entry = target.entries[random.nextInteger(target.entries.length)];
        if (entry === undefined) {
            break;
        }
        const { database } = operation;
        const session = { name: "final", caller, database, homeRegion: entry.region, entry, writeCount: 0 };
        const statement = { kind: OperationKind.ReadList, lists: [list] };
        const reply = await performRead(services, session, statement, ReadGuarantee.Latest);
        if (reply.outcome === OutcomeKind.Answer) {
            return readListResult(OperationKind.ReadList, [list], reply.result)?.[0]?.values ?? [];
        }
        reason = reply.reason;
        await clock.sleep(loadConstants.finalReadPauseMilliseconds);
    }
    throw createError(ErrorKind.DeadlineExceeded, `List ${list} could not be read after the run: ${reason}.`, {
        remedy: "Check that the database has a primary and that the caller may use it.",
    });
}
