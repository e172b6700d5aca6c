import { z } from "zod";
import { fieldSchemas } from "../../messages/fieldSchemas/index.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { trpc } from "../../transport/trpc/index.js";
import { parseInput } from "../parseInput/index.js";
import type { EndpointRequests } from "../types/EndpointRequests.js";
import type { RequestKeyLookUp } from "../types/RequestKeyLookUp.js";

const { name, requestKey, counter, milliseconds } = fieldSchemas;

const requestSchema: z.ZodType<EndpointRequest> = z.object({
    requestId: name,
    database: name,
    endpoint: name,
    kind: z.enum(RequestKind),
    statement: z.unknown(),
    term: counter,
    leastPosition: counter,
    waitMilliseconds: milliseconds,
    requestKey: requestKey.optional(),
    isAgedRead: z.boolean().optional(),
    caller: name,
    timeLeftMilliseconds: milliseconds,
});

const lookUpSchema: z.ZodType<RequestKeyLookUp> = z.object({
    requestId: name,
    database: name,
    endpoint: name,
    term: counter,
    requestKey,
    caller: name,
    timeLeftMilliseconds: milliseconds,
});

/**
 * Creates the router through which entries send single-statement requests to this gateway.
 *
 * @param requests The service that runs the requests.
 * @returns The router with `requests.execute` and `requests.lookUp`.
 *
 * @example
 * const reply = await peers.clientOf<RequestsRouter>(address).requests.execute.mutate(request);
 */
export function createRequestsRouter(requests: EndpointRequests) {
    return trpc.router({
        requests: trpc.router({
            execute: trpc.procedure
                .input(parseInput(requestSchema))
                .mutation(({ input, signal }) => requests.execute(input, signal)),
            lookUp: trpc.procedure
                .input(parseInput(lookUpSchema))
                .mutation(({ input, signal }) => requests.lookUpRequestKey(input, signal)),
        }),
    });
}
