import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { Directory } from "../../directory/types/Directory.js";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { Duty } from "../../duty/types/Duty.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import { createPlatformStandIn } from "../../platform/standIns/createPlatformStandIn/index.js";
import type { CallerStandIn } from "../../platform/standIns/types/CallerStandIn.js";
import type { PlatformStandIn } from "../../platform/standIns/types/PlatformStandIn.js";
import { StoreMode } from "../../platform/standIns/types/StoreMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { startVm } from "../../testing/startVm/index.js";
import { waitUntilTrue } from "../../testing/waitUntilTrue/index.js";

const routes = [
    createRoute({ database: "counter" }),
    createRoute({ database: "shop", guarantee: ReadGuarantee.ReadYourWrites }),
    createRoute({ database: "browse", guarantee: ReadGuarantee.BoundedStaleness }),
];

const changesOfSlots = 8;

/** Starts the platform and one VM that is ready. */
async function startSite() {
    const platform = await createPlatformStandIn({
        group: "orders",
        zones: ["a", "b", "c"],
        promotionMilliseconds: 60,
    });
    platform.configure(7, routes);
    const vm = await startVm("vm-1", platform);
    await waitUntilTrue("the VM is ready", vm.isReady);
    const open = async (database: string): Promise<CallerStandIn> =>
        (await createCallerStandIn(vm.settings.callerAddress.port, database)).caller;
    const stop = async (): Promise<void> => {
        await vm.stop();
        platform.stop();
    };
    return { platform, vm, open, stop };
}

/** Counts the writes with an id in an endpoint's log. */
function countWrites(platform: PlatformStandIn, endpointId: string, id: string): number {
    const endpoint = platform.endpoints.find(candidate => candidate.id === endpointId)!;
    return endpoint.log.flatMap(entry => entry.ids).filter(written => written === id).length;
}

describe("a VM on the platform", () => {
    let site: Awaited<ReturnType<typeof startSite>>;
    before(async () => {
        site = await startSite();
    });
    after(() => site.stop());

    it("forwards statements and answers with the endpoint's signature and rows", async () => {
        const caller = await site.open("counter");
        const write = await caller.run("WRITE a1 some data");
        assert.equal(write.signature, `i-1.${caller.lastId()}`);
        const read = await caller.run("READ a1");
        assert.deepEqual(read.rows, ["some data"]);
        assert.equal(read.state, SessionState.Idle);
    });

    it("refuses a database without a route", async () => {
        const { opening } = await createCallerStandIn(site.vm.settings.callerAddress.port, "nowhere");
        assert.equal(opening.failure?.code, FailureCode.UnknownDatabase);
    });

    it("runs a transaction on one connection and rolls back one that its caller leaves open", async () => {
        const caller = await site.open("counter");
        assert.equal((await caller.run("BEGIN")).state, SessionState.InTransaction);
        await caller.run("WRITE t1 one");
        const firstId = caller.lastId();
        await caller.run("WRITE t2 two");
        assert.equal((await caller.run("COMMIT")).state, SessionState.Idle);
        const ran = site.platform.executedStatements.filter(statement =>
            statement.id.startsWith(firstId.split("q")[0]!)
        );
        assert.equal(new Set(ran.map(({ endpointId, connection }) => `${endpointId} ${connection}`)).size, 1);
        assert.equal(countWrites(site.platform, "i-1", firstId), 1);

        const leavingCaller = await site.open("counter");
        await leavingCaller.run("BEGIN");
        await leavingCaller.run("WRITE t1 three");
        leavingCaller.close();
        assert.deepEqual((await caller.run("READ t1")).rows, ["one"]);
    });

    it("keeps callers' values and prepared names apart on shared connections", async () => {
        const callers = await Promise.all([site.open("shop"), site.open("shop"), site.open("shop")]);
        await Promise.all(callers.map(async (caller, index) => {
            await caller.run(`SET unit u${index}`);
            await caller.run(`PARSE s1 ${index === 0 ? "WRITE" : "READ"} shape${index}`);
            for (let turn = 0; turn < 10; turn += 1) {
                const answer = await caller.run(`EXECUTE s1 item${index} data`);
                assert.equal(answer.failure, undefined);
                const ran = site.platform.executedStatements.find(({ id }) => id === caller.lastId())!;
                assert.deepEqual(ran.values, { unit: `u${index}` });
                assert.equal(ran.shape, `shape${index}`);
            }
        }));
    });

    it("runs a statement that holds a line feed or another control character as one, and returns its row whole", async () => {
        const caller = await site.open("counter");
        for (let code = 0; code < 0x20; code += 1) {
            const data = `one${String.fromCharCode(code)}QUERY beef WRITE payment twice`;
            assert.equal((await caller.run(`WRITE note ${data}`)).failure, undefined);
            assert.deepEqual((await caller.run("READ note")).rows, [data]);
            assert.equal((await caller.run(`SET unit ${data}`)).failure, undefined);
            assert.equal((await caller.run("READ note")).failure, undefined);
            const ran = site.platform.executedStatements.find(({ id }) => id === caller.lastId())!;
            assert.deepEqual(ran.values, { unit: data });
        }
        assert.ok(site.platform.executedStatements.every(({ id }) => id !== "beef"));
    });

    it("answers invalid statements with a typed failure", async () => {
        const caller = await site.open("counter");
        assert.equal((await caller.run("DROP everything")).failure?.code, FailureCode.Malformed);
        assert.equal((await caller.run("COMMIT")).failure?.code, FailureCode.Malformed);
        assert.equal((await caller.run("EXECUTE s9 a")).failure?.code, FailureCode.UnknownPreparedStatement);
        assert.equal((await caller.run("READ a1")).failure, undefined);
        caller.sendRaw(`QUERY x READ ${"y".repeat(1_100_000)}\r\n`);
        assert.equal((await caller.nextAnswer()).failure?.code, FailureCode.Malformed);
        await caller.closed;
    });

    it("lets a session read its own writes although replicas lag", async () => {
        site.platform.endpoints.forEach(endpoint => {
            endpoint.lagMilliseconds = 80;
        });
        const caller = await site.open("shop");
        for (let turn = 0; turn < 10; turn += 1) {
            await caller.run(`WRITE own ${turn}`);
            assert.deepEqual((await caller.run("READ own")).rows, [`${turn}`]);
        }
        site.platform.endpoints.forEach(endpoint => {
            endpoint.lagMilliseconds = 0;
        });
    });

    it("reports an unknown outcome when the answer to a write is lost, and runs the write once", async () => {
        const caller = await site.open("counter");
        site.platform.endpoints[0]!.lostAnswers = 1;
        const write = await caller.run("WRITE a2 once");
        assert.equal(write.failure?.code, FailureCode.OutcomeUnknown);
        assert.equal(countWrites(site.platform, "i-1", caller.lastId()), 1);
    });

    it("ignores records that cannot be used, also while they change or end, and hears of later ones", async () => {
        const { store } = site.platform;
        const sound = store.read("servers", "i-1") as Record<string, unknown>;
        const changes = [{ slots: 1e300 }, { addr: "127.0.0.1:70000" }, { service: "orders\r\nQUERY - WRITE a b" }];
        const odd = [{ service: 7 }, "no record", [], ...changes.map(change => ({ ...sound, ...change }))];
        const directory = site.vm.kernel.get<Directory>(ServiceName.Directory);
        for (const [index, content] of odd.entries()) {
            store.put("servers", "odd", content);
            store.put("tarragonpost", `odd-${index}`, content);
            store.put("config", `odd-${index}`, content);
            site.platform.registerUnused("later", index + 1);
            await waitUntilTrue(
                "the VM hears of the later record",
                () => directory.endpoint("later")?.slots === index + 1,
            );
            if (index % 2 === 0) {
                store.remove("servers", "odd");
            }
            assert.equal(directory.endpoint("odd"), undefined);
        }
        const caller = await site.open("browse");
        assert.equal((await caller.run("READ a1")).failure, undefined);
        const written = await (await site.open("counter")).run("WRITE a1 data");
        assert.equal(written.failure, undefined);
    });

    it("puts a new configuration in force, and never an older one", async () => {
        site.platform.configure(9, [...routes, createRoute({ database: "added" })]);
        const isServed = async (): Promise<boolean> =>
            (await createCallerStandIn(site.vm.settings.callerAddress.port, "added")).opening.failure === undefined;
        await waitUntilTrue("the added database is served", isServed);
        site.platform.configure(8, routes);
        const caller = await site.open("browse");
        await caller.run("READ a1");
        assert.ok(await isServed());
    });
});

/** Raises the revision of the store by changes of an endpoint's number of slots. */
function changeSlots(platform: PlatformStandIn): void {
    for (let slots = 1; slots <= changesOfSlots; slots += 1) {
        platform.registerUnused("i-9", slots);
    }
}

describe("a VM whose store is restored from a copy", () => {
    it("serves a database that was added at a revision which the store had assigned before", async () => {
        const site = await startSite();
        try {
            const { store } = site.platform;
            const directory = site.vm.kernel.get<Directory>(ServiceName.Directory);
            const copiedAt = performance.now();
            changeSlots(site.platform);
            site.platform.configure(8, routes);
            await waitUntilTrue(
                "the VM has heard of all changes",
                () => directory.endpoint("i-9")?.slots === changesOfSlots && directory.routingVersion() === 8,
            );
            store.mode = StoreMode.Busy;
            store.restoreCopy(performance.now() - copiedAt);
            site.platform.configure(9, [...routes, createRoute({ database: "added" })]);
            changeSlots(site.platform);
            changeSlots(site.platform);
            store.mode = StoreMode.Serving;
            await waitUntilTrue(
                "the added database is served",
                async () =>
                    (await createCallerStandIn(site.vm.settings.callerAddress.port, "added")).opening.failure
                        === undefined,
            );
        }
        finally {
            await site.stop();
        }
    });
});

describe("a VM whose primary is replaced", () => {
    it("replaces a leaving primary without losing or refusing a write", async () => {
        const site = await startSite();
        try {
            const caller = await site.open("counter");
            const acknowledged: string[] = [];
            const hasSuccessor = (): boolean =>
                site.platform.endpoints.some(({ id, isPrimary }) => isPrimary && id !== "i-1");
            const writeOnce = async (): Promise<void> => {
                const answer = await caller.run("WRITE item data");
                assert.equal(answer.failure, undefined, JSON.stringify(answer.failure));
                acknowledged.push(caller.lastId());
            };
            await writeOnce();
            site.platform.announceLeaving(site.platform.endpoints[0]!);
            while (!hasSuccessor()) {
                await writeOnce();
            }
            await writeOnce();
            const successor = site.platform.endpoints.find(({ id, isPrimary }) => isPrimary && id !== "i-1")!;
            assert.ok(acknowledged.every(id => countWrites(site.platform, successor.id, id) === 1));
            assert.equal(site.platform.promotionOrders.length, 1);
        }
        finally {
            await site.stop();
        }
    });

    it("replaces a failed primary and serves writes and reads again", async () => {
        const site = await startSite();
        try {
            const caller = await site.open("counter");
            await caller.run("WRITE item first");
            site.platform.endpoints[0]!.kill();
            await waitUntilTrue(
                "a write succeeds",
                async () => (await caller.run("WRITE item second")).failure === undefined,
            );
            assert.deepEqual((await caller.run("READ item")).rows, ["second"]);
            const tokens = new Set(site.platform.promotionOrders.map(({ fencingToken }) => fencingToken));
            assert.deepEqual([...tokens], [site.vm.kernel.get<Duty>(ServiceName.Duty).heldToken()]);
        }
        finally {
            await site.stop();
        }
    });
});

describe("a VM that starts while the store is busy", () => {
    it("is not ready, and lets an early session wait for the routes", async () => {
        const platform = await createPlatformStandIn({ group: "orders", zones: ["a"], promotionMilliseconds: 10 });
        platform.store.mode = StoreMode.Busy;
        const vm = await startVm("vm-1", platform);
        try {
            assert.equal(await vm.isReady(), false);
            const early = createCallerStandIn(vm.settings.callerAddress.port, "counter");
            platform.configure(7, routes);
            platform.store.mode = StoreMode.Serving;
            assert.equal((await early).opening.state, SessionState.Idle);
        }
        finally {
            await vm.stop();
            platform.stop();
        }
    });
});
