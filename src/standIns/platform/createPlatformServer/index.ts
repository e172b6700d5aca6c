import fastify, { type FastifyInstance } from "fastify";
import { setTimeout as sleep } from "node:timers/promises";
import { ErrorKind } from "../../../errors/types/ErrorKind.js";
import { standInConstants } from "../../constants.js";
import { mountObjects } from "../mountObjects/index.js";
import { mountWatch } from "../mountWatch/index.js";
import { OutageKind } from "../types/OutageKind.js";
import type { PlatformCore } from "../types/PlatformCore.js";

/**
 * Creates the HTTP interface of the platform stand-in, which emulates the faults that the switches set.
 *
 * @param core The stand-in's parts.
 * @returns The server, not yet listening.
 *
 * @example
 * await createPlatformServer(core).listen({ host: "127.0.0.1", port: 0 });
 */
export function createPlatformServer(core: PlatformCore): FastifyInstance {
    const server = fastify({ bodyLimit: standInConstants.maximumObjectBytes, forceCloseConnections: true });

    // Runs after the body has been read, so that a delayed call takes effect even when its caller has disconnected.
    server.addHook("preHandler", async (_request, reply) => {
        if (core.switches.outage === OutageKind.Hanging) {
            return reply.hijack();
        }
        await sleep(core.switches.slowMilliseconds);
        if (core.switches.outage === OutageKind.Refusing) {
            await reply.status(503).send({
                kind: ErrorKind.PlatformUnavailable,
                message: "The platform has an outage. Retry later.",
            });
        }
    });
    mountObjects(server, core);
    mountWatch(server, core);
    return server;
}
