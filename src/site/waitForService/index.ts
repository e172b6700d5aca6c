import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createCallerClient } from "../../load/createCallerClient/index.js";
import type { CallerClient } from "../../load/types/CallerClient.js";
import type { LoadEntry } from "../../load/types/LoadEntry.js";
import type { LoadTarget } from "../../load/types/LoadTarget.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { siteConstants } from "../constants.js";
import { waitForValue } from "../waitForValue/index.js";

/**
 * Waits until every entry answers a read of the latest data in every database.
 *
 * @param target The entries, callers and databases.
 * @throws TarragonpostError of kind `DeadlineExceeded`, with the last refusal in the message.
 *
 * @example
 * await waitForService(site.target);
 */
export async function waitForService(target: LoadTarget): Promise<void> {
    const client = createCallerClient({ clock: createSystemClock(), callerDelayMilliseconds: 0 });
    const callerKey = target.callers[0]?.key ?? "";
    const pairs = target.entries.flatMap(entry => target.databases.map(database => ({ entry, database })));
    try {
        await Promise.all(pairs.map(({ entry, database }) =>
            waitForValue(
                `${entry.name} to serve ${database}`,
                siteConstants.startTimeoutMilliseconds,
                () => readOnce(client, entry, { database, callerKey }),
            )
        ));
    }
    finally {
        await client.stop();
    }
}

async function readOnce(
    client: CallerClient,
    entry: LoadEntry,
    { database, callerKey }: { readonly database: string; readonly callerKey: string; },
): Promise<true> {
    const reply = await client.post(entry, {
        path: `/v1/databases/${database}/statements`,
        callerKey,
        body: { kind: RequestKind.Read, statement: { operation: "ReadList", list: "none" } },
        timeoutMilliseconds: siteConstants.adminTimeoutMilliseconds,
    });
    if (reply.outcome !== OutcomeKind.Answer) {
        throw createError(ErrorKind.Unreachable, `A read at ${entry.name} failed: ${reply.reason} ${reply.message}`, {
            remedy: "Check the output of the entry and its gateway.",
        });
    }
    return true;
}
