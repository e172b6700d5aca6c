import { setTimeout as sleep } from "node:timers/promises";
import { createPromotionGate } from "../standins-3/createPromotionGate.mjs";
import { openClient } from "../standins-3/openClient.mjs";
import { replaceBackend } from "../standins-3/replaceBackend.mjs";
import { createRecord, recordStatements, startSite } from "../standins-3/startSite.mjs";

const database = "lepu270";
const vmCount = 3;
const clientCount = 6;
/** How long the platform refuses promotions, in seconds. */
const downSeconds = 1;
/** Time from the drain of the primary to the end of the day, in seconds. */
const watchedSeconds = 20;
const drainMilliseconds = 7_000;
const hasTrouble = process.env.TROUBLE !== "0";

const record = createRecord(process.argv[2]);
const gate = { isDown: false, refused: 0 };
const routes = [{
    database,
    group: "stylus-core",
    guarantee: "Primary",
    statementTimeoutMilliseconds: 1_000,
    targetLatencyMilliseconds: 1_000,
    priority: 1,
    maximumStalenessMilliseconds: 0,
}];

/** When each statement was sent, and how it was answered, by id. */
const sent = new Map();

async function runClient(vm, clientName, endsAt) {
    let count = 0;
    while (performance.now() < endsAt) {
        const client = await openClient(vm, database);
        for (let index = 0; index < 20 && !client.isClosed() && performance.now() < endsAt; index += 1) {
            count += 1;
            const id = `${clientName}-${count}`;
            const text = count % 3 === 0 ? `WRITE item-${clientName} ${count}` : `READ item-${clientName}`;
            sent.set(id, { text, sentAt: performance.now(), outcome: "none" });
            const answer = await client.query(id, text);
            sent.get(id).outcome = answer.isSuccess ? "success" : answer.failure ?? "none";
            record(`${id} (${text}) sent to ${vm.name}, answered with ${sent.get(id).outcome}`);
            await sleep(20);
        }
        client.close();
    }
}

let exitCode = 2;
const site = await startSite({
    record,
    vmCount,
    routes,
    openPromotions: port => createPromotionGate(port, gate, record),
});
try {
    const areReady = await Promise.all(site.vms.map(site.waitUntilReady));
    await sleep(2_000);
    const holderName = site.platform.store.read("tarragonpost", "failover")?.name;
    const holder = site.vms.find(({ name }) => name === holderName);
    await site.restart(holder);
    await sleep(2_000);
    await site.waitUntilReady(holder);
    for (const replica of site.platform.endpoints.filter(({ isPrimary }) => !isPrimary)) {
        await replaceBackend(site.platform, replica, record);
        await sleep(1_000);
    }
    const endsAt = performance.now() + (3 + watchedSeconds) * 1_000;
    const clients = Array.from(
        { length: clientCount },
        (_, index) => runClient(site.vms[index % vmCount], `c${index + 1}`, endsAt),
    );
    await sleep(3_000);
    const primary = site.platform.findPrimary();
    const count = site.platform.executedStatements.length;
    gate.isDown = hasTrouble;
    record(hasTrouble ? `the platform refuses promotions for ${downSeconds} s` : "no disruption");
    site.platform.announceLeaving(primary);
    const leavingAt = performance.now();
    record(`the store has accepted that ${primary.id}, the primary, is draining`);
    await sleep(downSeconds * 1_000);
    gate.isDown = false;
    record("the platform accepts promotions");
    await Promise.all(clients);
    recordStatements(site.platform, record);

    // Rule DRAIN: a request reaches a backend later than drainMs after the store accepted that it is draining.
    const late = site.platform.executedStatements.slice(count).filter(({ id, endpointId }) =>
        endpointId === primary.id && sent.has(id) && sent.get(id).sentAt > leavingAt + drainMilliseconds
    );
    for (const { id } of late) {
        const { text, sentAt, outcome } = sent.get(id);
        const seconds = ((sentAt - leavingAt) / 1_000).toFixed(3);
        record(`${id} (${text}), sent ${seconds} s after that, ran at ${primary.id}; answered with ${outcome}`);
    }
    const ran = site.platform.executedStatements.slice(count).length;
    const writes = [...sent.values()].filter(({ text, sentAt }) => text.startsWith("WRITE") && sentAt > leavingAt + 3_000);
    const served = writes.filter(({ outcome }) => outcome === "success").length;
    record(`${writes.length} writes sent later than 3 s after the drain began, ${served} answered with success`);
    record(`${ran} statements run since, ${gate.refused} promotions refused; ${late.length} run by ${primary.id} that were sent later than ${drainMilliseconds} ms`);
    if (areReady.every(Boolean) && ran > 0) {
        exitCode = late.length > 0 ? 1 : 0;
    }
    record(exitCode === 1 ? "rule DRAIN is broken" : exitCode === 0 ? "rule DRAIN held" : "the case could not run");
}
catch (error) {
    exitCode = 2;
    record(`the case could not run: ${error}`);
}
finally {
    await site.stop();
}
process.exit(exitCode);
