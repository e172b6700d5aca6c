import { z } from "zod";
import { ReadGuarantee } from "../directory/types/ReadGuarantee.js";
import { quotaDemandsSchema } from "../quotas/quotaDemandsSchema.js";
import { AccessMode } from "../statements/types/AccessMode.js";
import { OutgoingKind } from "../statements/types/OutgoingKind.js";
import { AnnouncementPhase } from "./types/AnnouncementPhase.js";

const largestPort = 65_535;
const address = z.object({
    host: z.string(),
    port: z.number().int().min(0).max(largestPort),
    availabilityZone: z.string(),
});
const vm = z.object({ name: z.string(), address, capacity: z.number().positive(), incarnation: z.string() });
/** Fields of a version of the platform's store. */
const storeVersion = { era: z.number(), revision: z.number() };
const position = z.object({ term: z.number(), entry: z.number() });
const routingTable = z.object({
    version: z.number(),
    routes: z.array(z.object({
        database: z.string(),
        group: z.string(),
        guarantee: z.enum(ReadGuarantee),
        statementTimeoutMilliseconds: z.number(),
        targetLatencyMilliseconds: z.number(),
        priority: z.number(),
        maximumStalenessMilliseconds: z.number(),
        isOpen: z.boolean().optional(),
    })),
    groups: z.array(z.object({
        group: z.string(),
        connectionLimit: z.number(),
        synchronousReplicas: z.number(),
    })),
    workspaces: z.array(z.object({
        name: z.string(),
        keyDigests: z.array(z.string()),
        priority: z.number(),
        quota: z.object({ operationsPerSecond: z.number(), burstOperations: z.number() }).optional(),
    })).optional(),
    idleTransactionMilliseconds: z.number(),
});
const endpoint = z.object({
    id: z.string(),
    group: z.string(),
    address,
    slots: z.number(),
    isLeaving: z.boolean(),
    isPrimary: z.boolean(),
    warmingMilliseconds: z.number(),
    startedAt: z.number(),
    reportNumber: z.number(),
    ...storeVersion,
});
/** Schema of a number that a holder assigned. */
const holderNumber = z.object({ token: z.number(), count: z.number() });
const announcement = z.object({
    sequence: holderNumber,
    group: z.string(),
    phase: z.enum(AnnouncementPhase),
    term: z.number(),
    endpointId: z.string().optional(),
});
const statement = z.object({
    kind: z.enum(OutgoingKind),
    term: z.number().optional(),
    isReadOnly: z.boolean().optional(),
    leastPosition: position.optional(),
    mode: z.enum(AccessMode).optional(),
});

/** Schemas of the messages between VMs. */
export const dutySchemas = {
    renewal: z.object({
        vm,
        isHost: z.boolean(),
        isLeaving: z.boolean(),
        hasHeardHolder: z.boolean(),
        routingVersion: z.number(),
        endpointVersion: z.object(storeVersion),
        vmListVersion: holderNumber,
        announcementSequence: holderNumber,
        members: z.array(vm).optional(),
        membersVersion: z.object(storeVersion).optional(),
        routingTable: routingTable.optional(),
        endpoints: z.array(endpoint).optional(),
        removals: z.array(z.object({ id: z.string(), ...storeVersion })).optional(),
        newsAgeMilliseconds: z.number().optional(),
        quotaDemands: quotaDemandsSchema.optional(),
    }),
    routingTable,
    token: z.number(),
    endpointId: z.string(),
    recordedHolder: vm.extend({ writtenInEra: z.number().optional(), isHandedOver: z.boolean().optional() }),
    holder: vm.extend({ token: z.number(), isHandedOver: z.boolean().optional() }),
    announcement,
    command: z.object({ endpointId: z.string(), statements: z.array(statement), timeoutMilliseconds: z.number() }),
} as const;
