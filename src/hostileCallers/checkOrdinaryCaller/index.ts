import assert from "node:assert/strict";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import { waitForValue } from "../../site/waitForValue/index.js";
import { hostileCallerConstants } from "../constants.js";
import type { HostileSite } from "../types/HostileSite.js";

/**
 * Checks that the process lives, has stayed within its memory and descriptors, and answers an ordinary request. A caller
 * that is refused tries again, as callers do.
 *
 * @param site The site after the misbehaving clients.
 * @throws AssertionError when one of these does not hold.
 *
 * @example
 * await checkOrdinaryCaller(site);
 */
export async function checkOrdinaryCaller({ vm, watch }: Pick<HostileSite, "vm" | "watch">): Promise<void> {
    const { maximumDescriptors, memoryMegabytes, ordinaryTimeoutMilliseconds } = hostileCallerConstants;
    const label = () => JSON.stringify(watch.greatestUse());
    if (vm.isRunning()) {
        await waitForValue("an ordinary request is answered", ordinaryTimeoutMilliseconds, async () => {
            const isServed = await serveOne();
            return isServed || !vm.isRunning() ? true : undefined;
        });
    }
    assert.deepEqual(vm.unexpectedExits, [], vm.output().slice(-2_000));
    const use = watch.greatestUse();
    assert.ok(use !== undefined, "the process has ended");
    assert.ok(use.megabytes <= memoryMegabytes, `memory: ${label()}`);
    assert.ok(use.descriptors <= maximumDescriptors, `descriptors: ${label()}`);

    async function serveOne(): Promise<boolean> {
        const { host, port } = vm.callerAddress;
        const { caller, opening } = await createCallerStandIn(port, "shop", host);
        const answer = opening.state === undefined ? opening : await caller.run("READ ordinary");
        caller.close();
        return answer.state !== undefined && answer.failure === undefined;
    }
}
