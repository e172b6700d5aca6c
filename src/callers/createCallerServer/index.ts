import fastify, { type FastifyReply, type FastifyRequest, type RequestPayload } from "fastify";
import { randomUUID } from "node:crypto";
import { type AddressInfo, Server } from "node:net";
import type { z } from "zod";
import type { Clock } from "../../clock/types/Clock.js";
import { waitAbortReason } from "../../clock/waitAbortReason.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { CallerReply } from "../../execution/types/CallerReply.js";
import type { RequestExecutionService } from "../../execution/types/RequestExecutionService.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { chooseStatus } from "../chooseStatus/index.js";
import { callerConstants } from "../constants.js";
import { createAuthentication } from "../createAuthentication/index.js";
import { createBodyBudget } from "../createBodyBudget/index.js";
import { createCallerConnections } from "../createCallerConnections/index.js";
import { requestSchemas } from "../requestSchemas.js";
import type { AuthenticatedCaller } from "../types/AuthenticatedCaller.js";
import type { CallerServer } from "../types/CallerServer.js";
import type { EntryLimits } from "../types/EntryLimits.js";
import { HealthState } from "../types/HealthState.js";

/** Options of `createCallerServer`. */
interface CallerServerOptions {
    readonly host: string;
    /** 0 selects any free port. */
    readonly port: number;
    readonly execution: RequestExecutionService;
    readonly configuration: ConfigurationService;
    readonly clock: Clock;
    readonly limits: EntryLimits;
    /** Called when a connection is closed because request bodies hold too many bytes. */
    readonly onDisconnected?: () => void;
    /** Called with the role of the endpoint that served each read. */
    readonly onRead?: (role: EndpointRole) => void;
}

/** A request as passed to the handler of an HTTP route. */
interface RoutedRequest<Body> {
    readonly requestId: string;
    readonly caller: string;
    readonly body: Body;
    readonly deadlineMilliseconds: number;
    /** Empty for routes without a database. */
    readonly database: string;
}

/**
 * Creates the HTTP server for callers, with JSON bodies; `docs/design/caller-api.md` specifies its interface.
 *
 * @param options Address, request execution, configuration and clock.
 * @returns The caller server, not yet listening.
 *
 * @example
 * const server = createCallerServer({ host: "127.0.0.1", port: 8080, execution, configuration, clock, limits });
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
    const { execution, configuration, clock, limits } = options;
    const authenticate = createAuthentication(configuration);
    const server = fastify({
        bodyLimit: callerConstants.maximumRequestBytes,
        genReqId: () => randomUUID(),
        requestTimeout: limits.requestMilliseconds,
        http: {
            headersTimeout: limits.requestMilliseconds,
            connectionsCheckingInterval: callerConstants.stalledCheckMilliseconds,
        },
    });
    server.server.maxConnections = limits.connections;
    const bodies = createBodyBudget(limits.bodyBytes, options.onDisconnected ?? (() => {}));
    const callers = new WeakMap<FastifyRequest, AuthenticatedCaller>();
    const connections = createCallerConnections(server.server);
    let state = HealthState.Serving;
    let lastRequestAt = 0;

    function refuse(requestId: string, reason: NotRunReason, message: string): CallerReply {
        return { outcome: OutcomeKind.NotRun, requestId, reason, message };
    }

    /** Authenticates the caller and checks request size and database access; returns the caller or the refusal. */
    function admit(request: FastifyRequest): CallerReply | AuthenticatedCaller {
        const { limits, databases } = configuration.current().content;
        const { database } = request.params as { readonly database?: string; };
        const caller = authenticate(request.headers.authorization);
        if (caller === undefined) {
            return refuse(
                request.id,
                NotRunReason.Unauthorized,
                "The caller key is missing or unknown. Send it as `authorization: Bearer <key>`.",
            );
        }
        if (Number(request.headers["content-length"] ?? 0) > limits.requestBytes) {
            return refuse(
                request.id,
                NotRunReason.InvalidRequest,
                `The request is larger than ${limits.requestBytes} bytes. Split it.`,
            );
        }
        if (database !== undefined && databases[database] === undefined) {
            return refuse(
                request.id,
                NotRunReason.UnknownDatabase,
                `Database ${database} is not configured. Check its name.`,
            );
        }
        if (database !== undefined && !caller.databases.includes(database)) {
            return refuse(
                request.id,
                NotRunReason.Forbidden,
                `Caller ${caller.name} may not use ${database}. Ask an operator to add it.`,
            );
        }
        return caller;
    }

    /** Refuses a request before its body is received. */
    async function refuseEarly(request: FastifyRequest, response: FastifyReply): Promise<void> {
        lastRequestAt = clock.now();
        const admitted = admit(request);
        if ("outcome" in admitted) {
            await response.status(chooseStatus(admitted)).send(admitted);
            return;
        }
        callers.set(request, admitted);
    }

    /** Counts the bytes of a body from their receipt until the request is answered. */
    function countBody(
        request: FastifyRequest,
        response: FastifyReply,
        body: RequestPayload,
        proceed: (error: undefined, body: RequestPayload) => void,
    ): void {
        const account = bodies.open(() => request.raw.socket.destroy());
        body.on("data", (chunk: Buffer) => account.add(chunk.length));
        response.raw.once("close", account.release);
        proceed(undefined, body);
    }

    function addRoute<Schema extends z.ZodType<{ readonly deadlineMilliseconds?: number | undefined; }>>(
        path: string,
        schema: Schema,
        handle: (request: RoutedRequest<z.output<Schema>>) => Promise<CallerReply>,
    ): void {
        server.post(path, { onRequest: refuseEarly, preParsing: countBody }, async (request, response) => {
            const reply = await answer(request);
            return response.status(chooseStatus(reply)).send(reply);
        });

        server.route({
            method: ["GET", "PUT", "PATCH", "DELETE"],
            url: path,
            handler: (request, response) => {
                void response.status(405).header("allow", "POST");
                return refuse(
                    request.id,
                    NotRunReason.InvalidRequest,
                    `${request.method} is not allowed here. Use POST.`,
                );
            },
        });

        async function answer(request: FastifyRequest): Promise<CallerReply> {
            const caller = callers.get(request)!;
            const parsed = schema.safeParse(request.body);
            if (!parsed.success) {
                const problems = parsed.error.issues.map(issue => `\`${issue.path.join(".")}\`: ${issue.message}`);
                return refuse(
                    request.id,
                    NotRunReason.InvalidRequest,
                    `The request body is not valid: ${problems.join("; ")}. Correct it.`,
                );
            }
            const { database } = request.params as { readonly database?: string; };
            const { defaultDeadlineMilliseconds } = configuration.current().content.limits;
            return handle({
                requestId: request.id,
                caller: caller.name,
                body: parsed.data,
                deadlineMilliseconds: parsed.data.deadlineMilliseconds ?? defaultDeadlineMilliseconds,
                database: database ?? "",
            });
        }
    }

    addRoute(
        "/v1/databases/:database/statements",
        requestSchemas.statement,
        async ({ body, ...request }) => {
            const reply = await execution.execute({ ...body, ...request });
            if (
                body.kind === RequestKind.Read && reply.outcome === OutcomeKind.Answer && reply.servedBy !== undefined
            ) {
                options.onRead?.(reply.servedBy.role);
            }
            return reply;
        },
    );
    addRoute(
        "/v1/databases/:database/request-keys/lookup",
        requestSchemas.lookup,
        ({ body, ...request }) => execution.lookUpRequestKey({ ...body, ...request }),
    );
    addRoute(
        "/v1/databases/:database/transactions",
        requestSchemas.begin,
        ({ body, ...request }) => execution.beginTransaction({ ...body, ...request }),
    );
    addRoute(
        "/v1/transactions/statements",
        requestSchemas.step,
        ({ body, ...request }) => execution.executeInTransaction({ ...body, ...request }),
    );
    addRoute(
        "/v1/transactions/end",
        requestSchemas.end,
        ({ body, ...request }) => execution.endTransaction({ ...body, ...request }),
    );
    server.addHook("onSend", async (_request, response) => {
        if (state === HealthState.Stopping) {
            void response.header("connection", "close");
        }
    });
    server.get("/v1/health", () => ({ state }));
    server.setNotFoundHandler((request, response) => {
        void response.status(404);
        return refuse(
            request.id,
            NotRunReason.InvalidRequest,
            `There is no ${request.method} ${request.url}. See the documentation of the caller API.`,
        );
    });
    server.setErrorHandler((error: Error & { readonly statusCode?: number; }, request, response) => {
        void response.status(error.statusCode ?? 500);
        return refuse(request.id, NotRunReason.InvalidRequest, `${error.message}. Correct the request.`);
    });

    async function start(): Promise<void> {
        await server.listen({ host: options.host, port: options.port });
    }

    async function stop(): Promise<void> {
        const startedAt = clock.now();
        state = HealthState.Stopping;
        await clock.sleep(callerConstants.stopNoticeMilliseconds);
        const isIdle = (): boolean => clock.now() - lastRequestAt >= callerConstants.stopIdleMilliseconds;
        const isOverdue = (): boolean => clock.now() - startedAt >= callerConstants.maximumStopNoticeMilliseconds;
        while (!isIdle() && !isOverdue()) {
            await clock.sleep(callerConstants.stopPollingIntervalMilliseconds);
        }
        // Stops accepting connections and keeps the accepted ones open: a request may be arriving on one of them.
        Server.prototype.close.call(server.server);
        await clock.sleep(callerConstants.stopLingerMilliseconds);
        connections.closeWhenAnswered();
        const closed = new AbortController();
        void connections.whenClosed().then(() => closed.abort(waitAbortReason));
        while (!closed.signal.aborted) {
            await clock.sleep(callerConstants.stopTransferMilliseconds, closed.signal);
            connections.closeUnlessRunning();
        }
        // Requests whose callers have closed their connections.
        while (execution.requestsInFlight > 0) {
            await clock.sleep(callerConstants.stopPollingIntervalMilliseconds);
        }
        await server.close();
    }

    return {
        port: () => (server.server.address() as AddressInfo).port,
        start,
        stop,
        describeWork: () =>
            execution.requestsInFlight === 0 ? [] : [`${execution.requestsInFlight} caller requests in flight`],
    };
}
