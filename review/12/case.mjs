import { setTimeout as sleep } from "node:timers/promises";
import { createGreyProxy } from "../standins-3/createGreyProxy.mjs";
import { openClient } from "../standins-3/openClient.mjs";
import { createRecord, recordStatements, startSite } from "../standins-3/startSite.mjs";

const database = "lepu270";
const vmCount = 3;
const clientCount = 6;
/** Share of its requests that the one backend fails, and for how long, in seconds. */
const greyShare = 0.4;
const greySeconds = 7;
const calmSeconds = 2;
const hasTrouble = process.env.TROUBLE !== "0";

const record = createRecord(process.argv[2]);
const grey = { isOn: false, count: 0, failed: 0 };
grey.fails = request => {
    if (!grey.isOn) {
        return false;
    }
    // An even share without chance: of five requests, two fail.
    grey.count += 1;
    const isFailed = Math.floor(grey.count * greyShare) > Math.floor((grey.count - 1) * greyShare);
    grey.failed += isFailed ? 1 : 0;
    if (isFailed && request.startsWith("QUERY - ")) {
        record(`backend i-1 answers ERROR FAILED to ${request}`);
    }
    return isFailed;
};

const routes = [{
    database,
    group: "stylus-core",
    guarantee: "Primary",
    statementTimeoutMilliseconds: 1_000,
    targetLatencyMilliseconds: 1_000,
    priority: 1,
    maximumStalenessMilliseconds: 0,
}];

/** The statements that clients sent, by id: the values acknowledged to the session, and the outcome. */
const sent = new Map();

/** Opens sessions in turn; each sets a value and then writes, outside of a transaction and in one. */
async function runClient(vm, clientName, endsAt) {
    for (let session = 1; performance.now() < endsAt; session += 1) {
        const client = await openClient(vm, database);
        const value = `${clientName}-${session}`;
        let count = 0;
        const run = async text => {
            count += 1;
            const id = `${value}-${count}`;
            sent.set(id, { text, values: { tenant_zone: value }, outcome: "none" });
            const answer = await client.query(id, text);
            sent.get(id).outcome = answer.isSuccess ? "success" : answer.failure ?? "none";
            record(`${id} (${text}) sent to ${vm.name}, answered with ${sent.get(id).outcome}`);
            return answer.isSuccess === true;
        };
        const setting = await client.query(`${value}-0`, `SET tenant_zone ${value}`);
        if (setting.isSuccess) {
            await run(`WRITE item-${clientName} ${value}`);
            if (await run("BEGIN") && await run(`WRITE other-${clientName} ${value}`)) {
                await run("COMMIT");
            }
        }
        client.close();
        await sleep(20);
    }
}

let exitCode = 2;
let endpointCount = 0;
const site = await startSite({
    record,
    vmCount,
    routes,
    chooseRegisteredPort: async endpoint => {
        endpointCount += 1;
        return endpointCount === 1 ? await createGreyProxy(endpoint.port, grey) : endpoint.port;
    },
});
try {
    const areReady = await Promise.all(site.vms.map(site.waitUntilReady));
    await sleep(1_500);
    const endsAt = performance.now() + (2 * calmSeconds + greySeconds) * 1_000;
    const clients = Array.from(
        { length: clientCount },
        (_, index) => runClient(site.vms[index % vmCount], `c${index + 1}`, endsAt),
    );
    await sleep(calmSeconds * 1_000);
    grey.isOn = hasTrouble;
    record(hasTrouble ? `backend i-1 fails ${greyShare} of its requests from now on` : "no disruption");
    await sleep(greySeconds * 1_000);
    grey.isOn = false;
    record("backend i-1 is well");
    await Promise.all(clients);
    recordStatements(site.platform, record);

    // Rule PINNED: a statement runs where the session values differ from those that were acknowledged to its client.
    let differing = 0;
    let acknowledged = 0;
    let executed = 0;
    for (const { id, endpointId, connection, values } of site.platform.executedStatements) {
        const statement = sent.get(id);
        if (statement === undefined) {
            continue;
        }
        executed += 1;
        if (JSON.stringify(values) !== JSON.stringify(statement.values)) {
            differing += 1;
            acknowledged += statement.outcome === "success" ? 1 : 0;
            record(`statement ${id} (${statement.text}) ran at ${endpointId} on connection ${connection} with the values ${
                JSON.stringify(values)
            }; acknowledged to its client: ${JSON.stringify(statement.values)}; answered with ${statement.outcome}`);
        }
    }
    record(`${sent.size} statements sent, ${executed} run by backends, ${grey.failed} requests failed by i-1`);
    record(`${differing} run with other values than acknowledged, ${acknowledged} of them answered with success`);
    if (areReady.every(Boolean) && executed > 0) {
        exitCode = differing > 0 ? 1 : 0;
    }
    record(exitCode === 1 ? "rule PINNED is broken" : exitCode === 0 ? "rule PINNED held" : "the case could not run");
}
catch (error) {
    exitCode = 2;
    record(`the case could not run: ${error}`);
}
finally {
    await site.stop();
}
process.exit(exitCode);
