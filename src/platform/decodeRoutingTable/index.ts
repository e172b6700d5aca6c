import { z } from "zod";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";

/** Read guarantee for each `routeType`. */
const guaranteesByRouteType = {
    primary: ReadGuarantee.Primary,
    bounded_staleness: ReadGuarantee.BoundedStaleness,
    read_your_writes: ReadGuarantee.ReadYourWrites,
} as const;

/** Content of the object `config/main`. */
const configurationSchema = z.object({
    version: z.number(),
    routes: z.array(z.object({
        // Holds the name of a database.
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
        // Largest number of connections that all VMs together open to one endpoint.
        maxConns: z.number(),
        syncReplicas: z.number().optional(),
    })),
    limits: z.object({ txIdleMs: z.number() }),
});

/**
 * Decodes the operator's configuration.
 *
 * @param content Content of the object, as the operator wrote it.
 * @returns The routing table.
 * @throws Error that describes the invalid fields.
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
            guarantee: guaranteesByRouteType[route.routeType],
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
