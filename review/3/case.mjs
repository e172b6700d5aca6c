/**
 * UNASKED: one client sends writes whose data holds a line feed. A message ends with CR LF and its last field extends to
 * the end of the line, so each is one statement. What the backends run is compared with what the clients sent.
 */
import { openClient } from "../standins/client.mjs";
import { startMachine } from "../standins/machine.mjs";
import { startPlatform } from "../standins/platform.mjs";
import { runCase } from "../standins/runCase.mjs";

const zones = ["dublin-a", "dublin-b"];
const regions = Object.fromEntries(zones.map(zone => [zone, "eu-west"]));
const host = `127.91.${1 + process.pid % 250}`;
const rudeWrites = 10;
const soundWrites = 50;
const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

await runCase(new URL("./", import.meta.url), async ({ record, hasTrouble, onEnd }) => {
    const sent = new Map();
    const ran = [];
    const platform = await startPlatform({
        zones: [...zones, zones[0]],
        routes: [{ host: "checkout", routeType: "primary" }],
        onRun: statement => {
            ran.push(statement);
            record.write("run", statement);
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
    async function send(client, id, text) {
        sent.set(id, text);
        record.write("sent", { id, text });
        const answer = await Promise.race([client.run(id, text), sleep(3_000).then(() => ({ silent: true }))]);
        record.write("answered", { id, ...answer });
        return answer;
    }
    async function runSoundClient(machine, name) {
        const client = await openClient({ host: machine.host, port: machine.front, database: "checkout" });
        for (let count = 0; count < soundWrites; count += 1) {
            await send(client, client.nextId(), `WRITE ${name} box${count}`);
            await send(client, client.nextId(), `READ ${name}`);
        }
        client.close();
    }
    async function runRudeClient(machine) {
        for (let count = 0; count < rudeWrites; count += 1) {
            const client = await openClient({ host: machine.host, port: machine.front, database: "checkout" });
            const separator = hasTrouble ? "\n" : " ";
            const hidden = `QUERY ${`beef${count}`.padStart(16, "0")} WRITE payment twice${count}`;
            await send(client, client.nextId(), `WRITE note${count} first${separator}${hidden}`);
            client.close();
        }
    }
    await Promise.all([runSoundClient(machines[0], "a"), runSoundClient(machines[1], "b"), runRudeClient(machines[0])]);
    await sleep(500);
    const violations = ran
        .filter(({ id, text }) => sent.get(id) !== text)
        .map(({ id, text }) => ({ rule: "UNASKED", id, run: text, sent: sent.get(id) ?? "never" }));
    record.write("summary", { sent: sent.size, run: ran.length, violations: violations.length });
    return violations;
});
