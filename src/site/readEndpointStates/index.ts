import { z } from "zod";
import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { FinalState } from "../../history/types/FinalState.js";
import { siteConstants } from "../constants.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import { sendAdminCall } from "../sendAdminCall/index.js";
import type { SiteEndpoint } from "../types/SiteEndpoint.js";
import type { SitePlan } from "../types/SitePlan.js";
import { waitForValue } from "../waitForValue/index.js";

const logSchema = z.object({
    entries: z.array(z.object({
        position: z.number(),
        operations: z.array(z.object({ list: z.string().optional(), value: z.unknown().optional() })),
    })),
});

/**
 * Reads the lists of a database from its endpoints' logs, once no write is in flight and the replicas have caught up.
 *
 * @param plan The site.
 * @param database The database.
 * @returns The primary's lists first, then those of each endpoint that follows it.
 * @throws TarragonpostError of kind `DeadlineExceeded` when the endpoints do not reach the same position in time.
 *
 * @example
 * const [primaryState] = await readEndpointStates(site.plan, "stock");
 */
export async function readEndpointStates(plan: SitePlan, database: string): Promise<FinalState[]> {
    const endpoints = plan.endpoints.filter(endpoint => endpoint.database === database);
    let previousPositions = "";
    const stableStatuses = await waitForValue(
        `the endpoints of ${database} to hold the same log`,
        siteConstants.convergenceTimeoutMilliseconds,
        async () => {
            const statuses = await Promise.all(endpoints.map(readEndpointStatus));
            const members = listPrimaryAndReplicas(statuses);
            const currentPositions = members.map(status => `${status.endpoint}@${status.position}`).join();
            const isStable = currentPositions !== "" && currentPositions === previousPositions
                && members.every(status => status.position === members[0]?.position);
            previousPositions = currentPositions;
            return isStable ? members : undefined;
        },
    );
    return Promise.all(stableStatuses.map(async status => {
        const endpoint = endpoints.find(candidate => candidate.name === status.endpoint) as SiteEndpoint;
        return { database, source: status.endpoint, lists: await readLists(endpoint) };
    }));
}

/** Lists the primary of the highest term and its replicas; empty if the primary has no replica. */
function listPrimaryAndReplicas(statuses: readonly EndpointStatus[]): EndpointStatus[] {
    const term = Math.max(...statuses.map(status => status.term));
    const primary = statuses.find(status => status.role === EndpointRole.Primary && status.term === term);
    const replicas = statuses.filter(status => status.role === EndpointRole.Replica && status.term === term);
    return primary === undefined || replicas.length === 0 ? [] : [primary, ...replicas];
}

async function readLists(endpoint: SiteEndpoint): Promise<Map<string, string[]>> {
    const lists = new Map<string, string[]>();
    let after = 0;
    for (let readCount = 0; readCount < siteConstants.maximumLogReads; readCount += 1) {
        const path = `/log?after=${after}&limit=${siteConstants.logEntriesPerRead}`;
        const { entries } = logSchema.parse(await sendAdminCall(endpoint.admin, path));
        for (const operation of entries.flatMap(entry => entry.operations)) {
            if (operation.list !== undefined) {
                const values = lists.get(operation.list) ?? [];
                values.push(String(operation.value));
                lists.set(operation.list, values);
            }
        }
        const last = entries.at(-1);
        if (last === undefined) {
            break;
        }
        after = last.position;
    }
    return lists;
}
