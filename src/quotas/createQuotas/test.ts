import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../../duty/constants.js";
import { createDutyFleet } from "../../testing/createDutyFleet/index.js";
import { createSharedGrantRecords } from "../../testing/createSharedGrantRecords/index.js";
import { quotaConstants } from "../constants.js";
import { createQuotaAccount } from "../createQuotaAccount/index.js";
import { createQuotaGranter } from "../createQuotaGranter/index.js";
import { quotaDemandsSchema } from "../quotaDemandsSchema.js";
import type { QuotaDemands } from "../types/QuotaDemands.js";
import type { Quotas } from "../types/Quotas.js";
import type { VmQuotas } from "../types/VmQuotas.js";
import { createQuotas } from "./index.js";

const names = ["vm-1", "vm-2", "vm-3"];
const quota = { operationsPerSecond: 60, burstOperations: 60 };
const workspace = { name: "acme", keyDigests: [], priority: 0, quota };
const excess = { windowMilliseconds: 5_000, share: 0, operations: 0 };
const askMilliseconds = 100;

/** VMs with the product's renewals, each of which asks for ten operations a second. */
async function startFleet() {
    const vmQuotas = new Map<string, VmQuotas>();
    const demands: QuotaDemands[] = [];
    const recordOf = createSharedGrantRecords();
    const fleet = createDutyFleet(names, {
        createVmQuotas: (name: string, clock: Clock) => {
            const shared = { clock, excess, log: () => {} };
            const account = createQuotaAccount({ ...shared, metrics: { countQuotaDecision: () => {} } });
            const granter = createQuotaGranter({
                ...shared,
                name,
                record: recordOf(name),
                quotaOf: () => quota,
                metrics: { countQuotaGrants: () => {} },
            });
            const createDemands = (): QuotaDemands | undefined => {
                const created = account.createDemands();
                demands.push(...created === undefined ? [] : [created]);
                return created;
            };
            vmQuotas.set(name, { ...account, ...granter, createDemands });
            return vmQuotas.get(name)!;
        },
    });
    const { clock } = fleet;
    const admitted = new Map<string, number>();

    async function ask(name: string, quotas: Quotas): Promise<void> {
        for (;;) {
            void Promise.resolve(quotas.take(workspace)).then(({ isAdmitted }) => {
                admitted.set(name, (admitted.get(name) ?? 0) + (isAdmitted ? 1 : 0));
            });
            await clock.sleep(askMilliseconds);
        }
    }

    await fleet.start();
    for (const name of names) {
        const quotas = createQuotas({ clock, name, vmQuotas: vmQuotas.get(name)!, duty: fleet.dutyOf(name) });
        await quotas.start?.();
        void ask(name, quotas);
    }
    await clock.advance(8_000);
    return { fleet, clock, admitted, demands };
}

describe("createQuotas", () => {
    it("admits at every VM what is within the quota, also at the holder", async () => {
        const { clock, admitted, demands } = await startFleet();
        admitted.clear();
        await clock.advance(10_000);
        names.forEach(name => assert.ok(admitted.get(name)! >= 99, `${name}: ${admitted.get(name)}`));
        demands.forEach(demand => assert.deepEqual(quotaDemandsSchema.parse(demand), demand));
    });

    it("goes on at the other VMs when the holder is cut off", async () => {
        const { fleet, clock, admitted } = await startFleet();
        const [holder] = fleet.holders();
        fleet.isolate(holder!);
        fleet.refusedByStore.add(holder!);
        admitted.clear();
        await clock.advance(12_000);
        const others = names.filter(name => name !== holder);
        others.forEach(name => assert.ok(admitted.get(name)! >= 114, `${name}: ${admitted.get(name)}`));
        const longestMilliseconds = dutyConstants.verifiedMilliseconds + quotaConstants.grantMilliseconds;
        assert.ok(
            admitted.get(holder!)! <= longestMilliseconds / askMilliseconds,
            `${holder}: ${admitted.get(holder!)}`,
        );
    });
});
