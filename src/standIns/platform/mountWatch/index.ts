import type { FastifyInstance } from "fastify";
import type { StoredObject } from "../../../objectStore/types/StoredObject.js";
import { standInConstants } from "../../constants.js";
import { CallKind } from "../types/CallKind.js";
import { OutageKind } from "../types/OutageKind.js";
import type { PlatformCore } from "../types/PlatformCore.js";

/**
 * Mounts the watch route, which streams one JSON line for each changed object, and empty lines as heartbeats.
 *
 * @param server The platform's HTTP server.
 * @param core The stand-in's parts.
 *
 * @example
 * mountWatch(server, core);
 */
export function mountWatch(server: FastifyInstance, core: PlatformCore): void {
    server.get<{ Querystring: { prefix?: string; }; }>("/watch", (request, reply) => {
        const prefix = request.query.prefix ?? "";
        const response = reply.raw;
        core.counts.add(CallKind.Watch, String(request.headers["x-caller"] ?? "unnamed"));
        reply.hijack();
        response.writeHead(200, { "content-type": "application/x-ndjson" });
        response.write("\n");

        function write(line: string): void {
            if (core.switches.outage !== OutageKind.Hanging) {
                response.write(`${line}\n`);
            }
        }

        function send(object: StoredObject): void {
            if (object.key.startsWith(prefix)) {
                setTimeout(() => write(JSON.stringify(object)), core.switches.slowMilliseconds);
            }
        }

        function closeInOutage(): void {
            if (core.switches.outage === OutageKind.Refusing) {
                response.destroy();
            }
        }

        const unsubscribe = core.store.onChange(send);
        const heartbeat = setInterval(() => write(""), standInConstants.watchHeartbeatMilliseconds);
        core.switchListeners.add(closeInOutage);
        response.once("close", () => {
            unsubscribe();
            clearInterval(heartbeat);
            core.switchListeners.delete(closeInOutage);
        });
    });
}
