/**
 * LOST: a service with `syncReplicas` 1. One replica receives nothing for a while; the other, which received the commits
 * of that time, is lost for good; the primary crashes for 7 s. What clients were told is compared with the log of the
 * backend that is promoted.
 */
import { openClient } from "../standins/client.mjs";
import { startMachine } from "../standins/machine.mjs";
import { startPlatform } from "../standins/platform.mjs";
import { runCase } from "../standins/runCase.mjs";

const zones = ["dublin-a", "dublin-b"];
const regions = Object.fromEntries(zones.map(zone => [zone, "eu-west"]));
const host = `127.93.${1 + process.pid % 250}`;
const deafMs = 6_500;
const goneAfterMs = 400;
const primaryCrashAfterMs = 5_600;
const primaryDownMs = 7_000;
const answerLimitMs = 3_000;
const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

await runCase(new URL("./", import.meta.url), async ({ record, hasTrouble, onEnd }) => {
    const acknowledged = [];
    const violations = [];
    const platform = await startPlatform({
        zones: [...zones, zones[0]],
        routes: [{ host: "checkout", routeType: "primary" }],
        syncReplicas: 1,
        onRun: ({ backend, id, text }) => record.write("run", { backend, id, text }),
        onPromoted: successor => {
            const present = new Set(successor.log.flatMap(({ writes }) => writes.map(({ id }) => id)));
            const missing = acknowledged.filter(id => !present.has(id));
            record.write("promoted", { backend: successor.id, term: successor.term, log: successor.position().number, missing: missing.length });
            violations.push(...missing.map(id => ({ rule: "LOST", id, promoted: successor.id })));
        },
    });
    onEnd(platform.stop);
    const machines = [];
    for (const [index, zone] of zones.entries()) {
        const machine = await startMachine({ name: `front-${zone}-1`, host: `${host}.${index + 2}`, zone, regions, platform });
        onEnd(machine.stop);
        machines.push(machine);
    }
    for (const machine of machines) {
        if (!await machine.waitUntilReady()) {
            throw new Error(`${machine.name} did not become ready`);
        }
    }
    let isEnding = false;
    async function runClient(machine, name) {
        while (!isEnding) {
            const client = await openClient({ host: machine.host, port: machine.front, database: "checkout" });
            for (let isOpen = !client.opening.closed; isOpen && !isEnding;) {
                const id = client.nextId();
                record.write("sent", { id, text: `WRITE ${name} ${id}` });
                const answer = await Promise.race([
                    client.run(id, `WRITE ${name} ${id}`),
                    sleep(answerLimitMs).then(() => ({ closed: true })),
                ]);
                record.write("answered", { id, ...answer });
                if (answer.signature !== undefined && answer.error === undefined) {
                    acknowledged.push(id);
                }
                isOpen = !answer.closed;
                await sleep(25);
            }
            client.close();
            await sleep(100);
        }
    }
    const clients = machines.flatMap(machine => ["x", "y"].map(item => runClient(machine, `${item}-${machine.name}`)));
    const [primary, lost, deaf] = platform.backends;
    await sleep(4_000);
    const before = acknowledged.length;
    if (hasTrouble) {
        record.write("replica receives nothing", { backend: deaf.id, forMs: deafMs });
        deaf.isDeaf = true;
        setTimeout(() => {
            deaf.isDeaf = false;
            record.write("replica receives again", { backend: deaf.id });
        }, deafMs);
        await sleep(goneAfterMs);
        record.write("replica is lost for good", { backend: lost.id, log: lost.position().number });
        platform.crash(lost);
        await sleep(primaryCrashAfterMs - goneAfterMs);
        record.write("primary crashes", { backend: primary.id, forMs: primaryDownMs, log: primary.position().number, deafLog: deaf.position().number });
        platform.crash(primary, primaryDownMs);
    }
    await sleep(15_000);
    isEnding = true;
    await Promise.all(clients);
    record.write("summary", {
        acknowledged: acknowledged.length,
        acknowledgedBefore: before,
        orders: platform.orders,
        logs: Object.fromEntries(platform.backends.map(backend => [backend.id, `${backend.position().term}.${backend.position().number}`])),
    });
    return violations;
});
