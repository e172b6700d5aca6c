import type { AnyTRPCRouter } from "@trpc/server";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import type { VmRecord } from "../../objectStore/types/VmRecord.js";
import { VmState } from "../../objectStore/types/VmState.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createDirectPeers } from "../../testing/createDirectPeers/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createMembershipRouter } from "../createMembershipRouter/index.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import { createMembershipService } from "./index.js";

type Member = ReturnType<typeof createMembershipService>;

/** Creates a fleet in one process with a manual clock; calls for which `faults.isCut` returns true are lost. */
function createFleet(zones: Readonly<Record<string, number>>) {
    const clock = createManualClock();
    const routers = new Map<number, AnyTRPCRouter>();
    const members = new Map<string, Member>();
    const selves = Object.entries(zones).flatMap(([availabilityZone, count]) =>
        Array.from({ length: count }, (_, index) => ({
            name: `${availabilityZone}-${index + 1}`,
            host: "127.0.0.1",
            availabilityZone,
            region: "north",
        }))
    ).map((self, index) => ({ ...self, port: 1_000 + index }));
    const faults = { isCut: (_from: string, _to: string): boolean => false, listedVms: [] as VmRecord[] };
    const counts = { listReads: 0 };
    const nameByPort = new Map(selves.map(self => [self.port, self.name]));

    function create(self: typeof selves[number], seed: number, seeds = selves.slice(0, 2)): Member {
        const peers = createDirectPeers({ peerName: self.name, peerZone: self.availabilityZone }, {
            routers,
            isDelivered: address =>
                routers.get(self.port) === router && !faults.isCut(self.name, nameByPort.get(address.port) ?? ""),
        });
        const member = createMembershipService({ self, seeds }, {
            peers,
            platform: {
                listVms: async () => {
                    counts.listReads += 1;
                    return faults.listedVms;
                },
            },
            clock,
            random: createRandomSource(seed),
            events: createEventRecorder(self.name, clock),
            logger: createLogger(self.name, clock),
        });
        const router = createMembershipRouter(member);
        routers.set(self.port, router);
        members.set(self.name, member);
        return member;
    }

    async function start(): Promise<void> {
        selves.forEach((self, index) => create(self, index + 1));
        for (const member of members.values()) {
            await member.start();
        }
        await clock.advance(3_000);
    }

    async function stop(): Promise<void> {
        const stopping = Promise.all([...members.values()].map(member => member.stop()));
        await clock.advance(2_000);
        await stopping;
    }

    function names(observer: string): string[] {
        return (members.get(observer)?.peers() ?? []).map(peer => peer.name).sort();
    }

    /** Simulates a crash: further calls to and from the gateway are lost. */
    function crash(name: string): void {
        routers.delete(selves.find(self => self.name === name)?.port ?? 0);
        members.delete(name);
    }

    function recordOf(observer: string, name: string): PeerRecord | undefined {
        return members.get(observer)?.peers().find(peer => peer.name === name);
    }

    return { clock, routers, members, selves, faults, counts, create, start, stop, names, crash, recordOf };
}

const zoneSizes = { a: 3, b: 3, c: 2 };
const allNames = ["a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"];

test("gateways discover each other through seeds, and a crashed one is removed everywhere within 1.5 s", async () => {
    const fleet = createFleet(zoneSizes);
    await fleet.start();
    for (const observer of allNames) {
        assert.deepEqual(fleet.names(observer), allNames);
    }
    fleet.crash("b-2");
    await fleet.clock.advance(1_500);
    for (const observer of allNames.filter(name => name !== "b-2")) {
        assert.equal(fleet.names(observer).includes("b-2"), false, `${observer} still lists it`);
        assert.equal(fleet.names(observer).length, 7);
    }
    await fleet.stop();
});

test("a restarted gateway supersedes its record from before the restart", async () => {
    const fleet = createFleet(zoneSizes);
    await fleet.start();
    fleet.crash("b-2");
    await fleet.clock.advance(2_000);
    const self = fleet.selves.find(candidate => candidate.name === "b-2");
    const restarted = fleet.create(self as NonNullable<typeof self>, 77);
    await restarted.start();
    await fleet.clock.advance(2_000);
    for (const observer of allNames) {
        assert.deepEqual(fleet.names(observer), allNames);
    }
    assert.ok(restarted.self.incarnation > 0);
    await fleet.stop();
});

test("a zone that is cut off is lost to others and keeps its members; no gateway is dead after the cut", async () => {
    const fleet = createFleet(zoneSizes);
    await fleet.start();
    fleet.faults.isCut = (from, to) => from.startsWith("a") !== to.startsWith("a");
    await fleet.clock.advance(3_000);
    assert.deepEqual(fleet.names("a-1"), ["a-1", "a-2", "a-3"]);
    assert.deepEqual(fleet.names("b-1"), ["b-1", "b-2", "b-3", "c-1", "c-2"]);
    fleet.faults.isCut = () => false;
    await fleet.clock.advance(6_000);
    for (const observer of allNames) {
        assert.deepEqual(fleet.names(observer), allNames);
    }
    await fleet.stop();
});

test("a cut between two gateways causes no suspicion, because others probe in their place", async () => {
    const fleet = createFleet(zoneSizes);
    await fleet.start();
    fleet.faults.isCut = (from, to) => from === "a-1" && to === "a-2" || from === "a-2" && to === "a-1";
    await fleet.clock.advance(5_000);
    assert.equal(fleet.recordOf("a-1", "a-2")?.state, PeerState.Live);
    assert.equal(fleet.recordOf("b-1", "a-2")?.incarnation, 0);
    await fleet.stop();
});

test("a suspicion is refuted by a higher incarnation; an old claim is ignored and a forged one refuted", async () => {
    const fleet = createFleet(zoneSizes);
    await fleet.start();
    const [observer, subject] = [fleet.members.get("a-1") as Member, fleet.members.get("a-2") as Member];
    const sender = { peerName: "a-3", peerZone: "a", connectionEnd: new AbortController().signal };
    const sendUpdate = (record: PeerRecord) =>
        observer.probe({ target: "a-1", updates: { peers: [record], zones: [] } }, sender);
    sendUpdate({ ...subject.self, state: PeerState.Suspected });
    assert.equal(fleet.recordOf("a-1", "a-2")?.state, PeerState.Suspected);
    await fleet.clock.advance(2_000);
    assert.equal(fleet.recordOf("a-1", "a-2")?.state, PeerState.Live);
    assert.equal(subject.self.incarnation, 1);
    sendUpdate({ ...subject.self, state: PeerState.Dead, incarnation: 0 });
    assert.equal(fleet.recordOf("a-1", "a-2")?.state, PeerState.Live);
    sendUpdate({ ...observer.self, state: PeerState.Dead, incarnation: 40 });
    assert.deepEqual([observer.self.state, observer.self.incarnation], [PeerState.Live, 41]);
    await fleet.stop();
});

test("malformed updates, a join under another name and a wrong target are refused", async () => {
    const fleet = createFleet({ a: 1 });
    await fleet.start();
    const member = fleet.members.get("a-1") as Member;
    const peers = createDirectPeers({ peerName: "x", peerZone: "a" }, { routers: fleet.routers });
    const address = { host: "127.0.0.1", port: 1_000, availabilityZone: "a" };
    const client = peers.clientOf<ReturnType<typeof createMembershipRouter>>(address).membership;
    const forged = { ...member.self, name: "y", incarnation: 2 ** 52 };
    const probe = client.probe.mutate({ target: "a-1", updates: { peers: [forged], zones: [] } });
    await assert.rejects(probe, /malformed/);
    await assert.rejects(client.join.mutate({ ...forged, incarnation: 0 }), /presented itself/);
    await assert.rejects(client.probe.mutate({ target: "a-9", updates: { peers: [], zones: [] } }), /not a-9/);
    assert.deepEqual(fleet.names("a-1"), ["a-1"]);
    await fleet.stop();
});

test("unknown gateways are discovered through the lagging list, and live ones missing from it are kept", async () => {
    const fleet = createFleet({ a: 3 });
    await fleet.start();
    const toVm = (self: typeof fleet.selves[number]): VmRecord => ({
        ...self,
        gatewayPort: self.port,
        state: VmState.Live,
    });
    const fourth = { ...fleet.selves[0] as typeof fleet.selves[number], name: "a-4", port: 2_000 };
    await fleet.create(fourth, 9, []).start();
    assert.deepEqual(fleet.names("a-4"), ["a-4"]);
    fleet.faults.listedVms = [fourth, ...fleet.selves.slice(0, 2)].map(toVm);
    await fleet.clock.advance(25_000);
    assert.deepEqual(fleet.names("a-1"), ["a-1", "a-2", "a-3", "a-4"]);
    assert.deepEqual(fleet.names("a-4"), ["a-1", "a-2", "a-3", "a-4"]);
    await fleet.stop();
});

test("a leaving gateway is known as leaving at once and is removed after its stop", async () => {
    const fleet = createFleet(zoneSizes);
    await fleet.start();
    const leaving = fleet.members.get("c-2") as Member;
    await leaving.leave();
    await fleet.clock.advance(1_000);
    for (const observer of allNames) {
        assert.equal(fleet.recordOf(observer, "c-2")?.state, PeerState.Leaving);
    }
    await leaving.stop();
    fleet.crash("c-2");
    await fleet.clock.advance(600);
    assert.equal(fleet.names("a-1").includes("c-2"), false);
    await fleet.stop();
});

test("a mass restart queries seeds before the platform, and later only bridges read the platform's list", async () => {
    const fleet = createFleet({ a: 20 });
    await fleet.start();
    await fleet.clock.advance(60_000);
    assert.equal(fleet.names("a-17").length, 20);
    assert.ok(fleet.counts.listReads <= 3 * 13, `${fleet.counts.listReads} reads of the list`);
    await fleet.stop();
});
