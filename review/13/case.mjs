import { setTimeout as sleep } from "node:timers/promises";
import { openClient } from "../standins-3/openClient.mjs";
import { replaceBackend } from "../standins-3/replaceBackend.mjs";
import { createRecord, recordStatements, startSite } from "../standins-3/startSite.mjs";

const database = "lepu270";
const vmCount = 3;
const clientCount = 6;
const recoverMilliseconds = 12_000;
/** Time for which requests are counted before the final fault, and after the time to recover. */
const countedMilliseconds = 8_000;
/** Time of silence after which the platform removes the entry of a lost backend. */
const lapseMilliseconds = 3_600;
const hasTrouble = process.env.TROUBLE !== "0";
/** Without this planned work the system recovers from the same faults. */
const isReplacing = process.env.REPLACE !== "0";

const record = createRecord(process.argv[2]);
const routes = [{
    database,
    group: "stylus-core",
    guarantee: "ReadYourWrites",
    statementTimeoutMilliseconds: 1_000,
    targetLatencyMilliseconds: 2_000,
    priority: 1,
    maximumStalenessMilliseconds: 2_500,
}];

/** When each statement was sent, and how it was answered. */
const sent = [];

async function runClient(vm, clientName, isOver) {
    let count = 0;
    while (!isOver()) {
        const client = await openClient(vm, database);
        while (!client.isClosed() && !isOver()) {
            count += 1;
            const id = `${clientName}-${count}`;
            const text = count % 4 === 0 ? `WRITE item-${clientName} ${count}` : `READ item-${clientName}`;
            const statement = { sentAt: performance.now(), outcome: "none" };
            sent.push(statement);
            const answer = await client.query(id, text);
            statement.outcome = answer.isSuccess ? "success" : answer.failure ?? "none";
            record(`${id} (${text}) sent to ${vm.name}, answered with ${statement.outcome}`);
            await sleep(50);
        }
        client.close();
        await sleep(50);
    }
}

function countServed(from, until) {
    const counted = sent.filter(({ sentAt }) => sentAt >= from && sentAt < until);
    return { count: counted.length, served: counted.filter(({ outcome }) => outcome === "success").length };
}

let exitCode = 2;
const site = await startSite({ record, vmCount, routes });
try {
    const areReady = await Promise.all(site.vms.map(site.waitUntilReady));
    await sleep(2_000);
    const holderName = site.platform.store.read("tarragonpost", "failover")?.name;
    const holder = site.vms.find(({ name }) => name === holderName);
    await site.restart(holder);
    await sleep(2_000);
    await site.waitUntilReady(holder);
    for (const replica of site.platform.endpoints.filter(({ isPrimary }) => isReplacing && !isPrimary)) {
        await replaceBackend(site.platform, replica, record);
        await sleep(1_000);
    }
    let isOver = false;
    const startedAt = performance.now();
    const clients = Array.from(
        { length: clientCount },
        (_, index) => runClient(site.vms[index % vmCount], `c${index + 1}`, () => isOver),
    );
    await sleep(countedMilliseconds);
    if (hasTrouble) {
        const primary = site.platform.findPrimary();
        primary.kill();
        record(`${primary.id}, the primary, is lost for good`);
        setTimeout(() => site.platform.unregister(primary), lapseMilliseconds);
        await sleep(1_000);
        site.platform.configure(2, routes);
        record("the store has accepted a configuration");
    }
    const faultAt = performance.now();
    if (hasTrouble) {
        await Promise.all(site.vms.map(site.kill));
    }
    const isBack = (await Promise.all(site.vms.map(site.waitUntilReady))).every(Boolean);
    const backAt = performance.now();
    await sleep(recoverMilliseconds + countedMilliseconds);
    isOver = true;
    await Promise.all(clients);
    recordStatements(site.platform, record);

    // Rule RECOVER: of the requests sent later than recoverS after the machines are back, less than a quarter is served,
    // though a quarter or more was before the final fault.
    const before = countServed(startedAt, faultAt);
    const after = countServed(backAt + recoverMilliseconds, Infinity);
    record(`before the final fault ${before.served} of ${before.count} requests were served`);
    record(`later than ${recoverMilliseconds} ms after the machines were back ${after.served} of ${after.count} were served`);
    if (areReady.every(Boolean) && isBack && before.served >= before.count / 4 && after.count > 0) {
        exitCode = after.served < after.count / 4 ? 1 : 0;
    }
    record(exitCode === 1 ? "rule RECOVER is broken" : exitCode === 0 ? "rule RECOVER held" : "the case could not run");
}
catch (error) {
    exitCode = 2;
    record(`the case could not run: ${error}`);
}
finally {
    await site.stop();
}
process.exit(exitCode);
