import { setTimeout as sleep } from "node:timers/promises";

let reportNumber = 1_000;

/** Drains a backend, which then leaves, and starts it again under its id and at its address, with its log. */
export async function replaceBackend({ store }, { id, group, port, position }, record) {
    const { zone } = store.read("servers", id);
    const report = state => {
        reportNumber += 1;
        store.put("servers", id, {
            service: group,
            addr: `127.0.0.1:${port}`,
            zone,
            version: "v2",
            slots: 3,
            state,
            coldLeftMs: 0,
            dbRole: "replica",
            seq: reportNumber,
            born: state === "ready" ? Date.now() : 1,
        });
    };
    report("draining");
    record(`${id}, a replica at ${position().term}.${position().entry}, is draining`);
    await sleep(1_000);
    store.remove("servers", id);
    record(`${id} has left`);
    await sleep(500);
    report("ready");
    record(`${id} has started again`);
    await sleep(1_000);
}
