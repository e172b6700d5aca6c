import { AdmissionClass } from "../../admission/types/AdmissionClass.js";
import type { AdmissionSlot } from "../../admission/types/AdmissionSlot.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import type { Logger } from "../../logging/types/Logger.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { createWorkTracker } from "../../waiting/createWorkTracker/index.js";
import { checkEndpoint } from "../checkEndpoint/index.js";
import { createLeavingGracePeriod } from "../createLeavingGracePeriod/index.js";
import { createUnknownOutcome } from "../createUnknownOutcome/index.js";
import { executeReadAtEndpoint } from "../executeReadAtEndpoint/index.js";
import { executeWriteAtEndpoint } from "../executeWriteAtEndpoint/index.js";
import { resolveRequestKey } from "../resolveRequestKey/index.js";
import { toNotRun } from "../toNotRun/index.js";
import type { AdmittedWork } from "../types/AdmittedWork.js";
import type { EndpointCheck } from "../types/EndpointCheck.js";
import type { EndpointRequests } from "../types/EndpointRequests.js";
import type { RequestKeyLookUp } from "../types/RequestKeyLookUp.js";
import type { RequestServices } from "../types/RequestServices.js";

/** Options of `createEndpointRequests`. */
interface EndpointRequestsOptions extends RequestServices {
    readonly logger: Logger;
}

/** Fields of every kind of work before its admission to a slot. */
interface IncomingWork extends EndpointCheck {
    readonly requestId: string;
    readonly caller: string;
    readonly timeLeftMilliseconds: number;
    readonly admissionClass: AdmissionClass;
}

const executors = {
    [RequestKind.Read]: executeReadAtEndpoint,
    [RequestKind.Write]: executeWriteAtEndpoint,
};

/**
 * Creates the service that runs single-statement requests at endpoints.
 *
 * Each request ends in an answer, in `NotRun` or in `OutcomeUnknown` within its time left.
 *
 * @param options The services of the gateway and the logger.
 * @returns The service.
 *
 * @example
 * const reply = await endpointRequests.execute(request);
 */
export function createEndpointRequests(options: EndpointRequestsOptions): EndpointRequests {
    const { clock, admission, topology, retryBudget } = options;
    const log = options.logger.topic("requests");
    const work = createWorkTracker();
    const isInGracePeriod = createLeavingGracePeriod(clock, topology);
    let isStopping = false;

    async function run(
        incoming: IncomingWork,
        signal: AbortSignal | undefined,
        execute: (admitted: AdmittedWork) => Promise<EndpointReply>,
    ): Promise<EndpointReply> {
        const deadlineAt = clock.now() + incoming.timeLeftMilliseconds;
        const refusal = isStopping ? createStoppingReply() : checkEndpoint(options, incoming, isInGracePeriod);
        if (refusal !== undefined) {
            return refusal;
        }
        let slot: AdmissionSlot;
        try {
            slot = await admission.queueOf(incoming.database, incoming.endpoint).acquire({ ...incoming, signal });
        }
        catch (error) {
            return toNotRun(toTypedError(error), incoming.term);
        }
        try {
            retryBudget.countRequest(incoming.endpoint);
            return await execute({ slot, deadlineAt });
        }
        catch (error) {
            const typed = toTypedError(error);
            log("request failed; its outcome is reported as unknown", {
                requestId: incoming.requestId,
                error: typed.message,
            });
            return createUnknownOutcome(typed.message);
        }
        finally {
            slot.release();
        }
    }

    function execute(request: EndpointRequest, signal?: AbortSignal): Promise<EndpointReply> {
        const admissionClass = request.kind === RequestKind.Read && request.isAgedRead === true
            ? AdmissionClass.BoundedStalenessRead
            : AdmissionClass.Statement;
        return work.track(
            `${request.kind} ${request.requestId} at ${request.endpoint}`,
            () =>
                run(
                    { ...request, admissionClass },
                    signal,
                    admitted => executors[request.kind](options, request, admitted),
                ),
        );
    }

    function lookUpRequestKey(lookUp: RequestKeyLookUp, signal?: AbortSignal): Promise<EndpointReply> {
        return work.track(`look-up ${lookUp.requestId} at ${lookUp.endpoint}`, async () => {
            const reply = await run(
                { ...lookUp, admissionClass: AdmissionClass.Statement },
                signal,
                admitted => resolveRequestKey(options, lookUp, admitted),
            );
            // A refused look-up leaves the outcome of the original request unknown.
            const isAboutLookUp = "reason" in reply && reply.reason !== NotRunReason.Cancelled;
            return isAboutLookUp ? createUnknownOutcome(reply.message) : reply;
        });
    }

    function createStoppingReply(): EndpointReply {
        return createNotRun(NotRunReason.Stopping, "This gateway is stopping. Send the request to another gateway.");
    }

    async function start(): Promise<void> {
        isStopping = false;
    }

    async function stop(): Promise<void> {
        isStopping = true;
        // A stopping gateway keeps few slots; another gateway serves the waiting requests sooner.
        admission.refuseWaiting();
        await work.whenIdle();
    }

    return { execute, lookUpRequestKey, describeWork: work.describe, start, stop };
}
