// A machine is cut off from the store and the other machines, and still reaches the backends. Meanwhile the backends of a
// service are replaced, one replica and then the primary. The machine takes the former primary for the primary.
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { openSession } from "../standins-2/client.mjs";
import { createRecord, startSite } from "../standins-2/site.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const zones = ["dublin-a", "dublin-b", "frankfurt-a"];
const regions = { "dublin-a": "eu-west", "dublin-b": "eu-west", "frankfurt-a": "eu-central" };
const warmUpMilliseconds = 5_000;
/** Time for which the machine is cut off. */
const cutMilliseconds = 10_000;
/** Time from the cut to the start of the new replica, and then to the start of the new primary. */
const replicaMilliseconds = 500;
const primaryMilliseconds = 1_500;
/** Time from the start of a new backend until the old one is draining. */
const replaceMilliseconds = 1_000;
/** Time for which a draining backend serves: `drainMs`, and a little longer. */
const drainMilliseconds = 7_500;
const readers = 3;

const record = createRecord(`${dirname(fileURLToPath(import.meta.url))}/record.txt`);
const stale = [];
let acknowledged = 0;
let written = 0;
let readCount = 0;
let isOver = false;

async function keepSession(machine, session) {
    return session === undefined || session.isClosed() ? await openSession({ host: machine.host, port: machine.front }, "checkout") : session;
}

/** Writes growing numbers to one item. */
async function write(machine) {
    let session;
    while (!isOver) {
        try {
            session = await keepSession(machine, session);
            written += 1;
            const value = written;
            const { id, error } = await session.query(`WRITE basket ${value}`);
            record({ event: "write answered", machine: machine.name, id, value, error });
            acknowledged = error === undefined ? value : acknowledged;
        }
        catch {
            await sleep(50);
        }
        await sleep(10);
    }
    session?.close();
}

/** Reads the item; a number below the one that was acknowledged before the read was sent is stale. */
async function read(machine) {
    let session;
    while (!isOver) {
        try {
            session = await keepSession(machine, session);
            const least = acknowledged;
            const { id, rows, error, signature } = await session.query("READ basket");
            const value = error === undefined ? Number(rows[0]) : undefined;
            const isStale = value !== undefined && value < least;
            const entry = { machine: machine.name, id, value, least, error, signature, isStale };
            record({ event: "read answered", ...entry });
            readCount += error === undefined ? 1 : 0;
            if (isStale) {
                stale.push(entry);
            }
        }
        catch {
            await sleep(50);
        }
        await sleep(40);
    }
    session?.close();
}

/** Replaces a backend: the new one starts first, then the old one drains. */
async function replace(service, backend, id) {
    await service.add({ id, zone: backend.zone });
    record({ event: "started", backend: id, zone: backend.zone });
    await sleep(replaceMilliseconds);
    service.announceDraining(backend);
    void sleep(drainMilliseconds).then(() => service.leave(backend));
}

async function play() {
    const site = await startSite({
        zones,
        regions,
        service: {
            name: "orders-db",
            maxConns: 43,
            lagMs: 20,
            workMs: 6,
            promoteMs: 300,
            backends: [{ id: "i-1", zone: "dublin-a" }, { id: "i-2", zone: "dublin-b" }, { id: "i-3", zone: "frankfurt-a" }],
        },
        routes: [{ host: "checkout", routeType: "primary", timeoutMs: 800, targetLatencyMs: 800, priority: 1 }],
        record,
    });
    const { machines, service } = site;
    const holder = site.holder();
    const cutOff = machines.findLast(machine => machine !== holder && machine.link.watches === 0) ?? machines.findLast(machine => machine !== holder);
    const clients = [write(holder), ...Array.from({ length: readers }, () => read(cutOff))];
    try {
        await sleep(warmUpMilliseconds);
        record({ event: "machines", holder: holder.name, cutOff: cutOff.name });
        if (hasTrouble) {
            site.cut(cutOff, true);
        }
        await sleep(replicaMilliseconds);
        const [primary, replica] = service.backends;
        void replace(service, replica, "i-4");
        await sleep(primaryMilliseconds);
        void replace(service, primary, "i-5");
        await sleep(cutMilliseconds - replicaMilliseconds - primaryMilliseconds);
        if (hasTrouble) {
            site.cut(cutOff, false);
        }
        await sleep(3_000);
    }
    finally {
        isOver = true;
        await Promise.all(clients.map(client => Promise.race([client, sleep(3_000)])));
        await site.stop();
    }
    record({ event: "result", acknowledged, reads: readCount, stale: stale.length, first: stale[0] });
    console.log(`${acknowledged} writes, ${readCount} reads answered by the machine; STALE: ${stale.length} of these reads`);
    if (stale.length > 0) {
        console.log(JSON.stringify(stale[0]));
    }
    if (acknowledged === 0 || readCount === 0) {
        throw new Error("nothing was served");
    }
    return stale.length > 0 ? 1 : 0;
}

play().then(code => process.exit(code), error => {
    record({ event: "could not run", reason: error.stack });
    console.error(error.stack);
    process.exit(2);
});
