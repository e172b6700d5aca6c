import { z } from "zod";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { digestKey } from "../../workspaces/digestKey/index.js";
import type { Workspace } from "../../workspaces/types/Workspace.js";

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
        noAuth: z.boolean().optional(),
    })),
    services: z.array(z.object({
        name: z.string(),
        // Largest number of connections that all VMs together open to one endpoint.
        maxConns: z.number(),
        syncReplicas: z.number().optional(),
    })),
    limits: z.object({ txIdleMs: z.number() }),
    tenants: z.array(z.object({
        name: z.string().min(1).regex(/^[^\s]+$/),
        apiKeys: z.array(z.string().min(1)),
        priority: z.number().optional(),
        ratePerS: z.number().nonnegative().optional(),
        burst: z.number().nonnegative().optional(),
    })).optional(),
});

/** A workspace as the operator wrote it. */
type WrittenWorkspace = NonNullable<z.infer<typeof configurationSchema>["tenants"]>[number];

/**
 * Decodes the operator's configuration.
 *
 * @param content Content of the object, as the operator wrote it.
 * @returns The routing table.
 * @throws Error that describes the invalid fields; of kind `InvalidRequest` when two workspaces hold one key.
 *
 * @example
 * const table = decodeRoutingTable(content);
 */
export function decodeRoutingTable(content: unknown): RoutingTable {
    const { version, routes, services, limits, tenants } = configurationSchema.parse(content);
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
            ...route.noAuth === true ? { isOpen: true } : {},
        })),
        groups: services.map(service => ({
            group: service.name,
            connectionLimit: service.maxConns,
            synchronousReplicas: service.syncReplicas ?? 0,
        })),
        ...tenants === undefined ? {} : { workspaces: decodeWorkspaces(tenants) },
        idleTransactionMilliseconds: limits.txIdleMs,
    };
}

function decodeWorkspaces(written: readonly WrittenWorkspace[]): readonly Workspace[] {
    const workspaces = written.map(decodeWorkspace);
    const holders = new Map<string, string>();
    for (const { name, keyDigests } of workspaces) {
        for (const digest of keyDigests) {
            const holder = holders.get(digest) ?? name;
            if (holder !== name) {
                throw createError(ErrorKind.InvalidRequest, `The workspaces ${holder} and ${name} hold the same key.`, {
                    remedy: "Remove the key from one of them; the version before stays in force.",
                });
            }
            holders.set(digest, name);
        }
    }
    return workspaces;
}

function decodeWorkspace({ name, apiKeys, priority, ratePerS, burst }: WrittenWorkspace): Workspace {
    return {
        name,
        keyDigests: apiKeys.map(digestKey),
        priority: priority ?? 0,
        ...ratePerS === undefined
            ? {}
            : { quota: { operationsPerSecond: ratePerS, burstOperations: burst ?? ratePerS } },
    };
}
