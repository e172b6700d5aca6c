import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { beginTransaction } from "../beginTransaction/index.js";
import { createDeadline } from "../createDeadline/index.js";
import { endTransaction } from "../endTransaction/index.js";
import { executeInTransaction } from "../executeInTransaction/index.js";
import { executeRead } from "../executeRead/index.js";
import { executeWrite } from "../executeWrite/index.js";
import { lookUpRequestKey } from "../lookUpRequestKey/index.js";
import { scopeRequestKey } from "../scopeRequestKey/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { CallerRequest } from "../types/CallerRequest.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { RequestExecutionService } from "../types/RequestExecutionService.js";

const executors = {
    [RequestKind.Read]: executeRead,
    [RequestKind.Write]: executeWrite,
} as const;

/** Fields that every request has. */
interface TimedRequest {
    readonly requestId: string;
    readonly deadlineMilliseconds: number;
}

/**
 * Creates the service that runs callers' requests at an entry.
 *
 * @param context The services and settings it uses.
 * @returns The service; its promises never reject.
 *
 * @example
 * const reply = await createRequestExecution(context).execute(request);
 */
export function createRequestExecution(context: ExecutionContext): RequestExecutionService {
    let requestsInFlight = 0;

    async function run(
        request: TimedRequest,
        work: (deadline: Deadline) => Promise<CallerReply>,
    ): Promise<CallerReply> {
        requestsInFlight += 1;
        try {
            return await work(createDeadline(context.clock, request.deadlineMilliseconds));
        }
        catch (error) {
            return toReply(request.requestId, error);
        }
        finally {
            requestsInFlight -= 1;
        }
    }

    return {
        execute: (request: CallerRequest) =>
            run(request, deadline => executors[request.kind](context, request, deadline)),
        lookUpRequestKey: request =>
            run(request, deadline => {
                const requestKey = scopeRequestKey(request.caller, request.requestKey) as string;
                return lookUpRequestKey(context, request, requestKey, deadline);
            }),
        beginTransaction: request => run(request, deadline => beginTransaction(context, request, deadline)),
        executeInTransaction: step => run(step, deadline => executeInTransaction(context, step, deadline)),
        endTransaction: step => run(step, deadline => endTransaction(context, step, deadline)),
        get requestsInFlight() {
            return requestsInFlight;
        },
    };
}

/** Converts an error to a reply: a token is checked before anything is sent; after other errors the outcome is unknown. */
function toReply(requestId: string, error: unknown): CallerReply {
    const { kind, message } = toTypedError(error);
    return kind === ErrorKind.InvalidToken
        ? { outcome: OutcomeKind.NotRun, requestId, reason: NotRunReason.InvalidToken, message }
        : { outcome: OutcomeKind.OutcomeUnknown, requestId, message };
}
