import assert from "node:assert/strict";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { startEndpointGroup } from "../../standIns/endpoint/startEndpointGroup/index.js";
import { createTermReservation } from "../../terms/createTermReservation/index.js";
import { createMemoryPlatform } from "../../testing/createMemoryPlatform/index.js";
import { createCoordinatedGroup } from "../createCoordinatedGroup/index.js";
import { createEndpointProbe } from "../createEndpointProbe/index.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import { changePrimary } from "./index.js";

type Endpoints = Awaited<ReturnType<typeof startEndpointGroup>>;

const clock = createSystemClock();
const realDriver = createEndpointDriver(createUnemulatedNetwork("a"));
const options = { reason: "requested by the test", avoided: new Set<string>() };

/** A coordinator that holds the given terms, and no record of the group. */
function createCoordinator(context: TestContext, endpoints: Endpoints, terms: number[], driver = realDriver) {
    const random = createRandomSource(terms[0] ?? 0);
    const events = createEventRecorder("gateway", clock);
    const reservation = createTermReservation({ platform: createMemoryPlatform(), clock, random, events });
    reservation.accept("stock", terms);
    const dissemination = { get: () => undefined } as unknown as DisseminationService;
    const logger = createLogger("gateway", clock);
    const dependencies = { driver, clock, random, events, logger, dissemination, terms: reservation };
    const probes = new Map(
        Object.keys(endpoints.endpoints).map(name => {
            const place = { region: "north", slots: 3, connectionLimit: 20 };
            const definition = { ...endpoints.addressOf(name), ...place, name };
            return [name, createEndpointProbe(definition, { driver, clock }, { onChange: () => {} })];
        }),
    );
    context.after(() => Promise.all([...probes.values()].map(probe => probe.stop())));
    return createCoordinatedGroup("stock", probes, dependencies as unknown as FailoverDependencies);
}

async function startEndpoints(context: TestContext): Promise<Endpoints> {
    const endpoints = await startEndpointGroup();
    context.after(endpoints.stop);
    return endpoints;
}

const statusesOf = (endpoints: Endpoints) =>
    Object.values(endpoints.endpoints).map(endpoint => endpoint.core.readStatus());

test("a coordinator that was paused before its promotion request changes nothing after it resumes", async context => {
    const endpoints = await startEndpoints(context);
    const pause = new EventTarget();
    const pausing = new EventTarget();
    const pausedDriver: EndpointDriver = {
        connect: async (...call) => {
            const connection = await realDriver.connect(...call);
            const promote: typeof connection.promote = async (...promotion) => {
                pausing.dispatchEvent(new Event("paused"));
                await once(pause, "woken");
                return await connection.promote(...promotion);
            };
            return { ...connection, promote };
        },
    };
    const first = createCoordinator(context, endpoints, [5, 7], pausedDriver);
    const second = createCoordinator(context, endpoints, [6]);
    const paused = once(pausing, "paused");
    const late = changePrimary(first, options);
    await paused;
    const record = await changePrimary(second, options);
    assert.equal(record?.term, 6);
    pause.dispatchEvent(new Event("woken"));
    assert.equal(await late, undefined);
    assert.ok(first.isBackingOff());
    const primaries = statusesOf(endpoints).filter(status => status.role === EndpointRole.Primary);
    assert.deepEqual(primaries.map(status => status.term), [6]);
});

test("a coordinator with a lower term backs off and uses a higher one in the next attempt", async context => {
    const endpoints = await startEndpoints(context);
    const second = createCoordinator(context, endpoints, [9]);
    assert.equal((await changePrimary(second, options))?.term, 9);
    const first = createCoordinator(context, endpoints, [4, 12]);
    assert.equal(await changePrimary(first, options), undefined);
    assert.ok(first.isBackingOff());
    assert.equal((await changePrimary(first, options))?.term, 12);
});

test("with one reachable endpoint nothing is promoted, and the term is kept for the next attempt", async context => {
    const endpoints = await startEndpoints(context);
    for (const name of ["stock-1", "stock-2"]) {
        endpoints.endpoints[name]?.core.switches.set({ isKilled: true });
    }
    const group = createCoordinator(context, endpoints, [5]);
    assert.equal(await changePrimary(group, options), undefined);
    assert.ok(statusesOf(endpoints).every(status => status.role !== EndpointRole.Primary));
    endpoints.endpoints["stock-1"]?.core.switches.set({ isKilled: false });
    await Promise.all([...group.probes.values()].map(probe => probe.refresh()));
    assert.equal((await changePrimary(group, options))?.term, 5);
});

test("no record is returned while no other endpoint can hold the marker", async context => {
    const endpoints = await startEndpoints(context);
    endpoints.endpoints["stock-1"]?.core.switches.set({ isCutFromPeers: true });
    endpoints.endpoints["stock-3"]?.core.switches.set({ isKilled: true });
    const group = createCoordinator(context, endpoints, [5]);
    assert.equal(await changePrimary(group, { ...options, preferred: "stock-1" }), undefined);
    assert.match(group.activity(), /No other endpoint of stock holds the marker/);
});
