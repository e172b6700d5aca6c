import { setTimeout as sleep } from "node:timers/promises";

/** A backend goes on serving for `drainMs` after the store has accepted that it is draining, and a little longer. */
const drainMilliseconds = 7_500;
/** Time from the end of the old backend to the start of the new one. */
const downMilliseconds = 500;

/**
 * Replaces a backend: it drains and ends, and a new one starts under its id and at its address, with the log that was
 * transferred to it.
 */
export async function replaceBackend({ store }, endpoint, record) {
    const { id, group, port } = endpoint;
    const { zone, seq, born } = store.read("servers", id);
    const report = changes =>
        store.put("servers", id, {
            service: group,
            addr: `127.0.0.1:${port}`,
            zone,
            version: "v1",
            slots: 3,
            state: "ready",
            coldLeftMs: 0,
            dbRole: "replica",
            ...changes,
        });
    report({ state: "draining", seq: seq + 1, born });
    record(`${id}, a replica, is draining`);
    await sleep(drainMilliseconds);
    endpoint.kill();
    store.remove("servers", id);
    record(`${id} has ended`);
    await sleep(downMilliseconds);
    await endpoint.restart();
    report({ version: "v2", seq: 1, born: Date.now() });
    record(`${id} has started anew`);
}
