import fastify, { type FastifyInstance } from "fastify";
import { z } from "zod";
import type { EndpointCore } from "../types/EndpointCore.js";

/** Actions of the admin interface besides setting switches. */
interface EndpointAdminOptions {
    readonly silence: () => void;
    /** Resolves when the last kill or restart has completed. */
    readonly waitForTransition: () => Promise<void>;
}

const switchesSchema = z.strictObject({
    isKilled: z.boolean().optional(),
    isFrozen: z.boolean().optional(),
    isCutFromPeers: z.boolean().optional(),
    isLeaving: z.boolean().optional(),
    replicationLagMilliseconds: z.number().min(0).optional(),
    serviceMilliseconds: z.number().min(0).optional(),
});

/**
 * Creates the HTTP admin interface of an endpoint stand-in; emulated faults do not affect it.
 *
 * @param core The endpoint's components.
 * @param options Actions besides setting switches.
 * @returns The server, not yet listening.
 *
 * @example
 * await createEndpointAdmin(core, options).listen({ host: "127.0.0.1", port: 0 });
 */
export function createEndpointAdmin(core: EndpointCore, options: EndpointAdminOptions): FastifyInstance {
    const admin = fastify();
    const { switches, counters, log } = core;

    admin.get("/status", () => core.readStatus());
    admin.get("/counters", () => counters);
    admin.get<{ Querystring: { after?: string; limit?: string; }; }>("/log", request => ({
        entries: log.entriesAfter(Number(request.query.after ?? 0), Number(request.query.limit ?? 10_000)),
    }));
    admin.get("/switches", () => switches.state);
    admin.patch("/switches", async (request, reply) => {
        const parsed = switchesSchema.safeParse(request.body);
        if (!parsed.success) {
            return reply.status(400).send({ message: parsed.error.message });
        }
        switches.set(parsed.data);
        await options.waitForTransition();
        return switches.state;
    });
    admin.post("/silence", () => {
        options.silence();
        return {};
    });
    return admin;
}
