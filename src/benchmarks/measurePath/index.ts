import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import { createCallerClient } from "../../load/createCallerClient/index.js";
import type { CallerClient } from "../../load/types/CallerClient.js";
import type { LoadEntry } from "../../load/types/LoadEntry.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { describeSmallSite } from "../../site/describeSmallSite/index.js";
import { readEndpointStatus } from "../../site/readEndpointStatus/index.js";
import type { Site } from "../../site/types/Site.js";
import { withSite } from "../../site/withSite/index.js";
import { summarizeSamples } from "../../statistics/summarizeSamples/index.js";
import { readResidentMegabytes } from "../readResidentMegabytes/index.js";
import type { BenchmarkReport } from "../types/BenchmarkReport.js";

const sizes = {
    rounds: 10,
    readsPerRound: 200,
    warmUpReads: 200,
    throughputSessions: 64,
    throughputMilliseconds: 8_000,
    serviceMilliseconds: 0,
    slots: 64,
    connectionLimit: 100,
    timeoutMilliseconds: 2_000,
} as const;

const statement = { operation: "ReadList", list: "dealer-1/list-1" };
const clock = createSystemClock();

/**
 * Measures the latency that entry and gateway add to a read within one availability zone, and the throughput of one VM.
 *
 * The baseline calls the same endpoint directly over one open connection; both are measured in alternating rounds.
 *
 * @param seed Seed of all randomness.
 * @returns The report.
 *
 * @example
 * const report = await measurePath(7);
 */
export function measurePath(seed: number): Promise<BenchmarkReport> {
    const { serviceMilliseconds, slots, connectionLimit } = sizes;
    const description = { ...describeSmallSite(seed), serviceMilliseconds, slots, connectionLimit };
    return withSite(description, site => measureSite(site, seed));
}

async function measureSite(site: Site, seed: number): Promise<BenchmarkReport> {
    // The second availability zone holds a replica; the first holds the primary.
    const entry = site.target.entries[1] as LoadEntry;
    const endpoint = site.plan.endpoints.find(each => each.address.availabilityZone === entry.availabilityZone);
    if (endpoint === undefined) {
        throw new Error("There is no endpoint in the availability zone of the entry.");
    }
    const { term } = await readEndpointStatus(endpoint);
    const driver = createEndpointDriver(createUnemulatedNetwork(entry.availabilityZone));
    const connection = await driver.connect(endpoint.name, endpoint.address, sizes.timeoutMilliseconds);
    const client = createCallerClient({ clock, callerDelayMilliseconds: 0 });
    const readDirectly = () => readFromEndpoint(connection, term);
    const readThroughProxy = () => readFromEntry(client, entry, site);
    try {
        await measureReads(readDirectly, sizes.warmUpReads);
        await measureReads(readThroughProxy, sizes.warmUpReads);
        const direct: number[] = [];
        const proxied: number[] = [];
        for (let round = 0; round < sizes.rounds; round += 1) {
            direct.push(...await measureReads(readDirectly, sizes.readsPerRound));
            proxied.push(...await measureReads(readThroughProxy, sizes.readsPerRound));
        }
        const readsPerSecond = await measureThroughput(readThroughProxy);
        const baseline = summarizeSamples(direct);
        const measured = summarizeSamples(proxied);
        return {
            name: "path",
            seed,
            sizes,
            rows: [
                { arrangement: "endpoint called directly", isBaseline: true, figures: toFigures(baseline) },
                {
                    arrangement: "through entry and gateway",
                    isBaseline: false,
                    figures: {
                        ...toFigures(measured),
                        addedP50Milliseconds: measured.p50 - baseline.p50,
                        readsPerSecond,
                        entryMegabytes: await readResidentMegabytes(site.findProcess("vm-2-entry").processId),
                        gatewayMegabytes: await readResidentMegabytes(site.findProcess("vm-2-gateway").processId),
                    },
                },
            ],
        };
    }
    finally {
        connection.close();
        await client.stop();
    }
}

function toFigures({ p50, p99 }: { readonly p50: number; readonly p99: number; }): Record<string, number> {
    return { p50Milliseconds: p50, p99Milliseconds: p99 };
}

async function readFromEndpoint(connection: EndpointConnection, term: number): Promise<void> {
    await connection.execute({
        statement,
        isWrite: false,
        term,
        leastPosition: 0,
        waitMilliseconds: 0,
        timeoutMilliseconds: sizes.timeoutMilliseconds,
    });
}

async function readFromEntry(client: CallerClient, entry: LoadEntry, site: Site): Promise<void> {
    const reply = await client.post(entry, {
        path: `/v1/databases/${site.target.databases[0]}/statements`,
        callerKey: site.target.callers[0]?.key ?? "",
        body: { kind: RequestKind.Read, statement, isNewSession: true },
        timeoutMilliseconds: sizes.timeoutMilliseconds,
    });
    if (reply.outcome !== OutcomeKind.Answer) {
        throw new Error(`A read was answered with ${reply.outcome}: ${reply.reason} ${reply.message}`);
    }
}

async function measureReads(read: () => Promise<void>, count: number): Promise<number[]> {
    const samples: number[] = [];
    for (let index = 0; index < count; index += 1) {
        const startedAt = clock.now();
        await read();
        samples.push(clock.now() - startedAt);
    }
    return samples;
}

async function measureThroughput(read: () => Promise<void>): Promise<number> {
    const endsAt = clock.now() + sizes.throughputMilliseconds;
    let count = 0;
    async function runReadLoop(): Promise<void> {
        while (clock.now() < endsAt) {
            await read();
            count += 1;
        }
    }
    await Promise.all(Array.from({ length: sizes.throughputSessions }, runReadLoop));
    return Math.round(count * 1_000 / sizes.throughputMilliseconds);
}
