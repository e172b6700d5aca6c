import { Agent, request } from "undici";
import { z } from "zod";
import type { Clock } from "../../clock/types/Clock.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { loadConstants } from "../constants.js";
import type { CallerClient } from "../types/CallerClient.js";
import type { CallerReply } from "../types/CallerReply.js";

const replySchema = z.object({
    outcome: z.enum(OutcomeKind),
    requestId: z.string().optional(),
    reason: z.string().optional(),
    message: z.string().optional(),
    result: z.unknown().optional(),
    sessionToken: z.string().optional(),
    transactionHandle: z.string().optional(),
    ageMilliseconds: z.number().optional(),
    servedBy: z.object({ endpoint: z.string(), role: z.string(), term: z.number(), position: z.number() }).optional(),
});

/** Codes of failures to connect, before any byte of the request was sent. */
const unsentCodes: readonly unknown[] = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EADDRNOTAVAIL"];

/** Options of `createCallerClient`. */
interface CreateCallerClientOptions {
    readonly clock: Clock;
    /** One-way delay between callers and entries in milliseconds. */
    readonly callerDelayMilliseconds: number;
}

/**
 * Creates the client that sends the requests of callers over HTTP.
 *
 * @param options The clock and the delay between callers and entries in milliseconds.
 * @returns The client.
 *
 * @example
 * const client = createCallerClient({ clock, callerDelayMilliseconds: 1 });
 */
export function createCallerClient(options: CreateCallerClientOptions): CallerClient {
    const { clock, callerDelayMilliseconds } = options;
    const agent = new Agent({ connections: loadConstants.connectionsPerEntry, pipelining: 1 });

    async function waitOneWay(): Promise<void> {
        if (callerDelayMilliseconds > 0) {
            await clock.sleep(callerDelayMilliseconds);
        }
    }

    async function send(...[entry, call]: Parameters<CallerClient["post"]>): Promise<CallerReply> {
        try {
            const response = await request(`http://${entry.host}:${entry.port}${call.path}`, {
                dispatcher: agent,
                method: "POST",
                headers: { "authorization": `Bearer ${call.callerKey}`, "content-type": "application/json" },
                body: JSON.stringify(call.body),
                signal: AbortSignal.timeout(call.timeoutMilliseconds),
            });
            const parsed = replySchema.safeParse(await response.body.json());
            return parsed.success
                ? parsed.data
                : { outcome: OutcomeKind.OutcomeUnknown, reason: `UnreadableAnswer${response.statusCode}` };
        }
        catch (error) {
            const { code } = error as { code?: unknown; };
            return unsentCodes.includes(code)
                ? { outcome: OutcomeKind.NotRun, reason: "EntryUnreachable" }
                : { outcome: OutcomeKind.OutcomeUnknown, reason: "AnswerLost" };
        }
    }

    async function post(...[entry, call]: Parameters<CallerClient["post"]>): Promise<CallerReply> {
        await waitOneWay();
        const reply = await send(entry, call);
        await waitOneWay();
        return reply;
    }

    return { post, stop: () => agent.destroy() };
}
