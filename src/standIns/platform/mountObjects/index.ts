import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { createError } from "../../../errors/createError/index.js";
import { isTypedError } from "../../../errors/isTypedError/index.js";
import { ErrorKind } from "../../../errors/types/ErrorKind.js";
import type { StoredObject } from "../../../objectStore/types/StoredObject.js";
import { standInConstants } from "../../constants.js";
import { CallKind } from "../types/CallKind.js";
import type { PlatformCore } from "../types/PlatformCore.js";

interface ObjectRoute {
    Params: { "*": string; };
}

const statusByKind: Partial<Record<ErrorKind, number>> = {
    [ErrorKind.Conflict]: 412,
    [ErrorKind.InvalidRequest]: 400,
    [ErrorKind.NotFound]: 404,
};

/**
 * Mounts the routes that read, list and conditionally write objects, and the route that lists VMs.
 *
 * @param server The platform's HTTP server.
 * @param core The stand-in's parts.
 *
 * @example
 * mountObjects(server, core);
 */
export function mountObjects(server: FastifyInstance, core: PlatformCore): void {
    const { store, counts } = core;

    function readCaller(request: FastifyRequest): string {
        return String(request.headers["x-caller"] ?? "unnamed");
    }

    function sendObject(reply: FastifyReply, object: StoredObject): FastifyReply {
        return reply.header("etag", `"${object.version}"`).send(object);
    }

    function tryConsumeLostAnswer(key: string): boolean {
        const { lostAnswers, lostAnswerPrefix } = core.switches;
        if (lostAnswers === 0 || !key.startsWith(lostAnswerPrefix)) {
            return false;
        }
        core.switches = { ...core.switches, lostAnswers: lostAnswers - 1 };
        return true;
    }

    function write(request: FastifyRequest<ObjectRoute>): StoredObject {
        const key = request.params["*"];
        const ifMatch = request.headers["if-match"];
        if (request.headers["if-none-match"] === "*") {
            counts.add(CallKind.Create, readCaller(request));
            return store.create(key, request.body);
        }
        if (ifMatch === undefined) {
            throw createError(ErrorKind.InvalidRequest, "The write is unconditional.", {
                remedy: "Send If-None-Match: * to create, or If-Match with the version to update.",
            });
        }
        counts.add(CallKind.Update, readCaller(request));
        return store.update(key, request.body, Number(ifMatch.replaceAll("\"", "")));
    }

    server.setErrorHandler((error, _request, reply) => {
        if (isTypedError(error)) {
            return reply.status(statusByKind[error.kind] ?? 500).send({ kind: error.kind, message: error.message });
        }
        const status = (error as { statusCode?: number; }).statusCode ?? 500;
        const kind = status === 413 ? ErrorKind.InvalidRequest : ErrorKind.Unexpected;
        const limit =
            `A value may have at most ${standInConstants.maximumObjectBytes} bytes. Split it into several objects.`;
        return reply.status(status).send({ kind, message: status === 413 ? limit : String(error) });
    });
    server.get<ObjectRoute>("/objects/*", async (request, reply) => {
        counts.add(CallKind.Read, readCaller(request));
        const key = request.params["*"];
        const object = store.read(key);
        if (object === undefined) {
            throw createError(ErrorKind.NotFound, `Object ${key} does not exist.`, { remedy: "Create it first." });
        }
        return sendObject(reply, object);
    });
    server.put<ObjectRoute>("/objects/*", async (request, reply) => {
        const object = write(request);
        if (tryConsumeLostAnswer(object.key)) {
            request.raw.socket.destroy();
            return reply.hijack();
        }
        return sendObject(reply, object);
    });
    server.get<{ Querystring: { prefix?: string; afterKey?: string; }; }>("/objects", async request => {
        counts.add(CallKind.List, readCaller(request));
        return store.list(request.query.prefix ?? "", request.query.afterKey ?? "");
    });
    server.get("/vms", async request => {
        counts.add(CallKind.ListVms, readCaller(request));
        return core.vms.readLagging(core.switches.vmListLagMilliseconds);
    });
}
