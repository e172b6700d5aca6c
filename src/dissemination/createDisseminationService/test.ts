import type { AnyTRPCRouter } from "@trpc/server";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createLogger } from "../../logging/createLogger/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createDirectPeers } from "../../testing/createDirectPeers/index.js";
import { createFixedMembership } from "../../testing/createFixedMembership/index.js";
import { createDisseminationRouter } from "../createDisseminationRouter/index.js";
import type { DisseminatedRecord } from "../types/DisseminatedRecord.js";
import type { DisseminationRouter } from "../types/DisseminationRouter.js";
import { RecordKind } from "../types/RecordKind.js";
import { createDisseminationService } from "./index.js";

const clock = createSystemClock();
const group = (stamp: number, key = "stock"): DisseminatedRecord => ({
    kind: RecordKind.Group,
    key,
    stamp,
    value: { primary: `${key}-${stamp}` },
});

/** Creates gateways in one process; a call is lost if `fleet.arrives` returns false. */
function createFleet(context: TestContext, count: number) {
    const routers = new Map<number, AnyTRPCRouter>();
    const fleet = { arrives: (_path: string): boolean => true, calls: 0 };
    const records: PeerRecord[] = Array.from({ length: count }, (_, index) => ({
        name: `gateway-${index}`,
        host: "127.0.0.1",
        port: index + 1,
        availabilityZone: `zone-${index % 3}`,
        region: "north",
        state: PeerState.Live,
        incarnation: 0,
    }));
    const createPeers = (name: string) =>
        createDirectPeers({ peerName: name, peerZone: "zone-0" }, {
            routers,
            isDelivered: (_, path) => fleet.arrives(path),
        });
    const services = records.map((self, index) => {
        const service = createDisseminationService({
            membership: createFixedMembership(self, records),
            peers: createPeers(self.name),
            clock,
            random: createRandomSource(index),
            logger: createLogger(self.name, clock),
        });
        routers.set(self.port, createDisseminationRouter(service));
        context.after(service.stop);
        return service;
    });
    return { fleet, services, records, createPeers };
}

type Service = ReturnType<typeof createDisseminationService>;

async function waitForStamp(service: Service, stamp: number): Promise<void> {
    while (service.get(RecordKind.Group, "stock")?.stamp !== stamp) {
        await new Promise<void>(resolve => {
            const stop = service.onRecord(RecordKind.Group, () => {
                stop();
                resolve();
            });
        });
    }
}

test("a published record reaches every gateway by pushes alone", async context => {
    const { services } = createFleet(context, 8);
    assert.equal(services[0]?.publish(group(4)), true);
    await Promise.all(services.map(service => waitForStamp(service, 4)));
    assert.equal(services[0]?.publish(group(4)), false);
});

test("lost pushes are repaired by the comparison of digests", async context => {
    const { fleet, services } = createFleet(context, 4);
    fleet.arrives = path => path !== "dissemination.push";
    services[0]?.publish(group(5));
    await Promise.all(services.slice(1).map(service => service.start()));
    await Promise.all(services.map(service => waitForStamp(service, 5)));
});

test("a comparison also sends the peer the records that it lacks", async context => {
    const { fleet, services } = createFleet(context, 2);
    const [first, second] = services as [Service, Service];
    fleet.arrives = () => false;
    first.publish(group(5));
    await first.start();
    fleet.arrives = () => true;
    await waitForStamp(second, 5);
});

test("an old record never replaces a newer one, whether published, pushed or pulled", async context => {
    const { services, createPeers, records } = createFleet(context, 2);
    const [first, second] = services as [Service, Service];
    first.publish(group(7));
    assert.equal(first.publish(group(6)), false);
    const client = createPeers("gateway-1").clientOf<DisseminationRouter>(records[0] as PeerRecord);
    await client.dissemination.push.mutate([group(3)]);
    assert.equal(first.get(RecordKind.Group, "stock")?.stamp, 7);
    second.publish(group(2));
    await second.start();
    assert.equal(second.get(RecordKind.Group, "stock")?.stamp, 7);
});

test("a push with a malformed record is refused as a whole with a typed error", async context => {
    const { services, createPeers, records } = createFleet(context, 2);
    const client = createPeers("gateway-1").clientOf<DisseminationRouter>(records[0] as PeerRecord);
    const malformed = [
        [group(1, "fits"), { kind: "Nonsense", key: "stock", stamp: 1 }],
        [{ ...group(1), stamp: -1 }],
        [{ ...group(1), stamp: "4" }],
        [{ ...group(1), value: "x".repeat(20_000) }],
        "no list",
    ];
    for (const input of malformed) {
        const failure = await client.dissemination.push.mutate(input as never).then(() => undefined, toTypedError);
        assert.equal(failure?.kind, ErrorKind.InvalidRequest);
    }
    assert.deepEqual(services[0]?.list(RecordKind.Group), []);
});

test("a restarted gateway receives all records from a peer during its start", async context => {
    const { services } = createFleet(context, 2);
    const [first, second] = services as [Service, Service];
    for (let index = 0; index < 500; index += 1) {
        first.publish(group(index + 1, `database-${index}`));
    }
    await second.start();
    assert.equal(second.list(RecordKind.Group).length, 500);
});
