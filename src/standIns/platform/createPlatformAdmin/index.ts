import fastify, { type FastifyInstance } from "fastify";
import { z } from "zod";
import { linkChangeSchema } from "../linkChangeSchema/index.js";
import type { NetworkState } from "../types/NetworkState.js";
import { OutageKind } from "../types/OutageKind.js";
import type { PlatformCore } from "../types/PlatformCore.js";
import { vmRecordSchema } from "../vmRecordSchema/index.js";

const switchesSchema = z.strictObject({
    outage: z.enum(OutageKind).optional(),
    slowMilliseconds: z.number().min(0).optional(),
    lostAnswers: z.number().int().min(0).optional(),
    lostAnswerPrefix: z.string().optional(),
    vmListLagMilliseconds: z.number().min(0).optional(),
});
/**
 * Creates the HTTP admin interface of the platform stand-in and the emulated network; emulated faults do not affect it.
 *
 * @param core The stand-in's parts.
 * @param network The emulated network.
 * @returns The server, not yet listening.
 *
 * @example
 * await createPlatformAdmin(core, network).listen({ host: "127.0.0.1", port: 0 });
 */
export function createPlatformAdmin(core: PlatformCore, network: NetworkState): FastifyInstance {
    const admin = fastify();
    admin.setErrorHandler((error, _request, reply) => reply.status(400).send({ message: String(error) }));
    admin.get("/admin/switches", async () => core.switches);
    admin.patch("/admin/switches", async request => {
        core.switches = { ...core.switches, ...switchesSchema.parse(request.body) };
        for (const listener of [...core.switchListeners]) {
            listener();
        }
        return core.switches;
    });
    admin.get("/admin/counts", async () => core.counts.list());
    admin.delete("/admin/counts", async () => {
        core.counts.reset();
        return {};
    });
    admin.put("/admin/vms", async request => {
        core.vms.set(z.array(vmRecordSchema).parse(request.body));
        return {};
    });
    admin.get("/admin/network", async () => network.list());
    admin.patch("/admin/network", async request => {
        for (const change of z.array(linkChangeSchema).parse(request.body)) {
            network.change(change);
        }
        return network.list();
    });
    return admin;
}
