import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import { createPlatformStandIn } from "../../platform/standIns/createPlatformStandIn/index.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { startVm } from "../../testing/startVm/index.js";
import { waitUntilTrue } from "../../testing/waitUntilTrue/index.js";
import { forwardingConstants } from "../constants.js";
import { createSessionHosts } from "../createSessionHosts/index.js";
import type { SessionHosts } from "../types/SessionHosts.js";
import { createSessionForwarding } from "./index.js";

const vmCount = forwardingConstants.maximumSmallZoneVms + 2;
const pairCallerCount = 12;

/** Starts one zone with so many VMs that only the hosts hold connections. */
async function startSite() {
    const platform = await createPlatformStandIn({
        group: "orders",
        zones: ["a", "b", "c"],
        promotionMilliseconds: 60,
    });
    platform.configure(7, [createRoute({ database: "shop", guarantee: ReadGuarantee.ReadYourWrites })]);
    const names = Array.from({ length: vmCount }, (_, index) => `vm-${index}`);
    const vms = await Promise.all(names.map(name => startVm(name, platform)));
    const open = async (vm: typeof vms[number]) =>
        (await createCallerStandIn(vm.settings.callerAddress.port, "shop")).caller;
    const isForwarding = (vm: typeof vms[number]): boolean =>
        vm.kernel.get<SessionHosts>(ServiceName.SessionHosts).hostOf("orders") !== undefined;
    const stop = async (): Promise<void> => {
        await Promise.all(vms.map(vm => vm.stop()));
        platform.stop();
    };
    return { platform, vms, open, isForwarding, stop };
}

describe("sessions forwarded between VMs", () => {
    let site: Awaited<ReturnType<typeof startSite>>;
    before(async () => {
        site = await startSite();
        await waitUntilTrue("all VMs except the hosts forward sessions", async () => {
            const forwarding = site.vms.filter(site.isForwarding);
            return forwarding.length === vmCount - forwardingConstants.hostsPerZone;
        });
    });
    after(() => site.stop());

    it("keeps values, transactions and the session's own writes", async () => {
        for (const vm of site.vms) {
            const caller = await site.open(vm);
            await caller.run(`SET unit ${vm.settings.name}`);
            await caller.run(`WRITE ${vm.settings.name} one`);
            const read = await caller.run(`READ ${vm.settings.name}`);
            assert.deepEqual(read.rows, ["one"]);
            const ran = site.platform.executedStatements.find(({ id }) => id === caller.lastId())!;
            assert.deepEqual(ran.values, { unit: vm.settings.name });
            assert.equal((await caller.run("BEGIN")).state, SessionState.InTransaction);
            await caller.run("WRITE t1 two");
            assert.equal((await caller.run("COMMIT")).state, SessionState.Idle);
            caller.close();
        }
    });

    it("rolls back a transaction that a caller leaves open at another VM", async () => {
        const leavingCallers = await Promise.all(site.vms.map(site.open));
        await Promise.all(leavingCallers.map(async leavingCaller => {
            await leavingCaller.run("BEGIN");
            await leavingCaller.run("WRITE left over");
            leavingCaller.close();
        }));
        const caller = await site.open(site.vms[0]!);
        assert.deepEqual((await caller.run("READ left")).rows, ["nothing"]);
        await waitUntilTrue("the endpoints hold no open transaction", async () => {
            const written = await caller.run("WRITE left later");
            return written.failure === undefined;
        });
        caller.close();
    });

    it("answers both of two statements that were sent together while the host of their session stops", async () => {
        const entrance = site.vms.find(site.isForwarding)!;
        const hosts = site.vms.filter(vm => !site.isForwarding(vm));
        let isStopped = false;
        const halfAnswered: string[] = [];
        async function sendPairs(): Promise<void> {
            while (!isStopped) {
                const caller = await site.open(entrance);
                for (let isOpen = true; isOpen && !isStopped;) {
                    const pair = await Promise.all([caller.run("READ a"), caller.run("WRITE b c")]);
                    const states = pair.map(({ state }) => state);
                    isOpen = states[1] !== undefined;
                    if (states[0] !== undefined && !isOpen) {
                        halfAnswered.push(caller.lastId());
                    }
                }
                caller.close();
            }
        }
        const callers = Array.from({ length: pairCallerCount }, sendPairs);
        const executedBefore = site.platform.executedStatements.length;
        await waitUntilTrue(
            "the callers are served",
            () => site.platform.executedStatements.length > executedBefore + 5 * pairCallerCount,
        );
        for (const host of hosts) {
            site.vms.splice(site.vms.indexOf(host), 1);
            await host.stop();
        }
        isStopped = true;
        await Promise.all(callers);
        assert.deepEqual(halfAnswered, []);
    });
});

describe("sessions of a workspace", () => {
    const names = Array.from({ length: 3 * vmCount }, (_, index) => `vm-${index}`);
    const vms = names.map((name, index) => createVmIdentity(name, { availabilityZone: "abc"[index % 3]! }));
    const opening = { database: "shop", keyDigest: "digest" };
    const write = { kind: StatementKind.Write as const, text: "WRITE a b" };

    /** Creates the forwarding of one VM; hosts answer with their name unless they were killed. */
    function createVm(self: VmIdentity, killedNames: ReadonlySet<string>) {
        const clock = createManualClock();
        const others = vms.filter(vm => vm !== self);
        const directory = createPopulatedDirectory(clock, []);
        const workspaces = [{ name: "museum-shops", keyDigests: ["digest"], priority: 1 }];
        directory.applyRoutingTable({ ...directory.routingTable()!, version: 2, workspaces });
        const forwarding = createSessionForwarding({
            clock,
            directory,
            hosts: createSessionHosts({
                clock,
                self,
                directory: { groups: () => ["orders"], onChange: () => {} },
                otherVms: () => others,
                isHost: () => true,
                regionOf: () => "north",
            }),
            open: ({ name }) => ({
                run: async () => {
                    if (killedNames.has(name)) {
                        throw createError(ErrorKind.Unreachable, "The host was killed.", {
                            remedy: "Use another one.",
                        });
                    }
                    return { rows: [name], state: SessionState.Idle, routingVersion: 1 };
                },
                onClose: () => {},
                close: () => {},
            }),
            log: () => {},
        });

        /** Opens a session and runs one statement; returns the name of the VM that ran it. */
        return async (): Promise<string> => {
            let ranAt = "";
            const local: CallerSession = {
                isInTransaction: () => false,
                isOver: () => false,
                handle: async () => {
                    ranAt = self.name;
                },
                abandonTransaction: () => {},
                end: () => {},
            };
            const connection: CallerConnection = {
                onCommand: () => {},
                onClose: () => {},
                sendReady: () => {},
                sendSuccess: ({ rows }) => {
                    ranAt = rows[0]!;
                },
                sendFailure: ({ code }) => assert.fail(code),
                refuse: () => {},
                close: () => {},
            };
            const session = forwarding.forward(connection, opening, () => local) ?? local;
            await session.handle({ id: "q1", statement: write, receivedAt: 0 });
            return ranAt;
        };
    }

    it("move to the next host when the one with all connections of the workspace is killed", async () => {
        const killedNames = new Set<string>();
        const runs = vms.map(vm => createVm(vm, killedNames));
        const [first, ...rest] = new Set(await Promise.all(runs.map(run => run())));
        assert.deepEqual(rest, []);
        killedNames.add(first!);
        const survivors = runs.filter((_, index) => names[index] !== first);
        const [second, ...others] = new Set(await Promise.all(survivors.map(run => run())));
        assert.deepEqual(others, [], "also the statements that find the host killed are run by the next one");
        assert.notEqual(second, first);
        names.forEach(name => killedNames.add(name));
        const lastName = vms.findLast(({ name }) => name !== first && name !== second)!.name;
        assert.equal(
            await runs[names.indexOf(lastName)]!(),
            lastName,
            "after two losses this VM serves the session",
        );
    });
});
