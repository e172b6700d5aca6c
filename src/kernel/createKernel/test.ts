import assert from "node:assert/strict";
import { test } from "node:test";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { ServiceDefinition } from "../types/ServiceDefinition.js";
import { ServiceName } from "../types/ServiceName.js";
import { createKernel } from "./index.js";

function define(
    calls: string[],
    name: ServiceName,
    dependencies: readonly ServiceName[],
    failing: "start" | "stop" | undefined = undefined,
): ServiceDefinition {
    const run = (step: "start" | "stop") => async () => {
        calls.push(`${step} ${name}`);
        if (step === failing) {
            throw new Error(`${step} of ${name} failed`);
        }
    };
    return { name, dependencies, create: () => ({ start: run("start"), stop: run("stop") }) };
}

test("services start in dependency order and stop in the reverse order, also when one fails to stop", async () => {
    const calls: string[] = [];
    const kernel = createKernel([
        define(calls, ServiceName.Topology, [ServiceName.Peers]),
        define(calls, ServiceName.Peers, [ServiceName.Clock], "stop"),
        define(calls, ServiceName.Clock, []),
    ]);
    await kernel.start();
    await assert.rejects(kernel.stop(), /stop of Peers failed/);
    const order = [ServiceName.Clock, ServiceName.Peers, ServiceName.Topology];
    const reversed = [...order].reverse();
    assert.deepEqual(calls, [...order.map(name => `start ${name}`), ...reversed.map(name => `stop ${name}`)]);
});

test("a failed start stops the services started before", async () => {
    const calls: string[] = [];
    const kernel = createKernel([
        define(calls, ServiceName.Clock, []),
        define(calls, ServiceName.Peers, [ServiceName.Clock], "start"),
    ]);
    await assert.rejects(kernel.start(), /start of Peers failed/);
    assert.deepEqual(calls, ["start Clock", "start Peers", "stop Clock"]);
});

test("a stop during a start lets no further service start, and stops the one whose start is under way", async () => {
    const calls: string[] = [];
    const slow = define(calls, ServiceName.Peers, [ServiceName.Clock]);
    const listener = define(calls, ServiceName.Topology, [ServiceName.Peers]);
    let finishStart = (): void => {};
    const kernel = createKernel([
        define(calls, ServiceName.Clock, []),
        {
            ...slow,
            create: () => ({
                ...slow.create(),
                start: () => {
                    calls.push("start Peers");
                    return new Promise<void>(resolve => {
                        finishStart = resolve;
                    });
                },
            }),
        },
        listener,
    ]);
    const started = kernel.start();
    await new Promise(resolve => setImmediate(resolve));
    const stopped = kernel.stop();
    await new Promise(resolve => setImmediate(resolve));
    finishStart();
    await Promise.all([started, stopped]);
    assert.deepEqual(calls, ["start Clock", "start Peers", "stop Peers", "stop Clock"]);
});

test("a start that does not end does not keep the other services from stopping", async () => {
    const calls: string[] = [];
    const hanging = define(calls, ServiceName.Peers, [ServiceName.Clock]);
    const kernel = createKernel([
        define(calls, ServiceName.Clock, []),
        { ...hanging, create: () => ({ ...hanging.create(), start: () => new Promise<void>(() => {}) }) },
    ]);
    void kernel.start();
    await new Promise(resolve => setImmediate(resolve));
    await kernel.stop();
    assert.deepEqual(calls, ["start Clock", "stop Clock"]);
});

test("a missing or circular dependency is a typed error", () => {
    const isInvalid = (error: unknown) => isTypedError(error, ErrorKind.InvalidSettings);
    assert.throws(() => createKernel([define([], ServiceName.Peers, [ServiceName.Clock])]), isInvalid);
    const circular = [
        define([], ServiceName.Peers, [ServiceName.Clock]),
        define([], ServiceName.Clock, [ServiceName.Peers]),
    ];
    assert.throws(() => createKernel(circular), isInvalid);
});
