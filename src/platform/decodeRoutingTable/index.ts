import { z } from "zod";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";

const guaranteesByWord = {
    primary: ReadGuarantee.Primary,
    bounded_staleness: ReadGuarantee.BoundedStaleness,
    read_your_writes: ReadGuarantee.ReadYourWrites,
} as const;

/** The object `config/main`. */
const configurationSchema = z.object({
    version: z.number(),
    routes: z.array(z.object({
        // The name of the database, although it is called a host.
        host: z.string(),
        service: z.string(),
        routeType: z.enum(["primary", "bounded_staleness", "read_your_writes"]),
        timeoutMs: z.number(),
        targetLatencyMs: z.number(),
        priority: z.number(),
        maxStalenessMs: z.number().optional(),
    })),
    services: z.array(z.object({
        name: z.string(),
        // Connections of all callers together to one endpoint.
        maxConns: z.number(),
        syncReplicas: z.number().optional(),
    })),
    limits: z.object({ txIdleMs: z.number() }),
});

/**
 * Decodes the operator's configuration.
 *
 * @param content What the operator wrote.
 * @returns The routing table.
 * @throws Error that tells what is wrong with it.
 *
 * @example
 * const table = decodeRoutingTable(content);
 */
export function decodeRoutingTable(content: unknown): RoutingTable {
    const { version, routes, services, limits } = configurationSchema.parse(content);
    return {
        version,
        routes: routes.map(route => ({
            database: route.host,
            group: route.service,
            guarantee: guaranteesByWord[route.routeType],
            statementTimeoutMilliseconds: route.timeoutMs,
            targetLatencyMilliseconds: route.targetLatencyMs,
            priority: route.priority,
            maximumStalenessMilliseconds: route.maxStalenessMs ?? 0,
        })),
        groups: services.map(service => ({
            group: service.name,
            connectionLimit: service.maxConns,
            synchronousReplicas: service.syncReplicas ?? 0,
        })),
        idleTransactionMilliseconds: limits.txIdleMs,
    };
}
