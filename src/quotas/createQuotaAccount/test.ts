import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { quotaConstants } from "../constants.js";
import type { QuotaDecision } from "../types/QuotaDecision.js";
import type { QuotaGrant } from "../types/QuotaGrant.js";
import { createQuotaAccount } from "./index.js";

const quota = { operationsPerSecond: 100, burstOperations: 100 };
const workspace = { name: "acme", keyDigests: [], priority: 0, quota };
const excess = { windowMilliseconds: 5_000, share: 0.1, operations: 20 };
const grant = {
    workspace: "acme",
    operations: 2,
    operationsPerSecond: 10,
    maximumOperations: 5,
    quota,
    isLimited: false,
};

function createAccount() {
    const clock = createManualClock();
    const lines: string[] = [];
    const account = createQuotaAccount({
        clock,
        excess,
        metrics: { countQuotaDecision: () => {} },
        log: message => lines.push(message),
    });
    let number = 0;

    function applyGrant(changes: Partial<QuotaGrant> = {}): void {
        const { request } = account.createDemands()!;
        number += 1;
        const grants = [{ ...grant, ...changes }];
        account.applyGrants({ request, granter: "vm-1", number, isContinuation: false, grants });
    }

    /** Asks for an operation, and returns the order in which all that wait are admitted. */
    async function take(): Promise<QuotaDecision> {
        return account.take(workspace);
    }

    return { clock, account, applyGrant, take, lines };
}

describe("createQuotaAccount", () => {
    it("admits a workspace without a quota", async () => {
        const { account } = createAccount();
        assert.equal((await account.take({ name: "free", keyDigests: [], priority: 0 })).isAdmitted, true);
        assert.equal(account.createDemands(), undefined);
    });

    it("has operations wait for the first grant, and admits them in order", async () => {
        const { account, applyGrant, take, clock } = createAccount();
        const order: number[] = [];
        const waiting = [1, 2, 3].map(async index => {
            await take();
            order.push(index);
        });
        assert.equal(account.createDemands()!.demands[0]!.waitingOperations, 3);
        applyGrant();
        await clock.advance(0);
        assert.deepEqual(order, [1, 2]);
        await clock.advance(100);
        await Promise.all(waiting);
        assert.deepEqual(order, [1, 2, 3]);
    });

    it("refuses what waited too long, and at once when the holder has not answered for a while", async () => {
        const { take, clock } = createAccount();
        const waiting = take();
        await clock.advance(quotaConstants.maximumWaitMilliseconds);
        assert.equal((await waiting).isAdmitted, false);
        await clock.advance(quotaConstants.unansweredMilliseconds);
        const decision = await take();
        assert.ok(!decision.isAdmitted && decision.retryAfterMilliseconds > 0);
    });

    it("refuses at once beyond the limit, and tells when the next operation is available", async () => {
        const { account, applyGrant, take, lines } = createAccount();
        void take();
        applyGrant({ operations: 1, isLimited: true });
        assert.deepEqual(account.take(workspace), { isAdmitted: false, retryAfterMilliseconds: 100 });
        assert.deepEqual(lines, ["operations over quota refused"]);
    });

    it("bounds the operations that wait", () => {
        const { account } = createAccount();
        for (let count = 0; count < quotaConstants.maximumWaiting; count += 1) {
            assert.ok(account.take(workspace) instanceof Promise);
        }
        assert.equal((account.take(workspace) as QuotaDecision).isAdmitted, false);
    });

    it("takes back an operation that was not run, once, and not after the end of its grant", async () => {
        const { account, applyGrant, take, clock } = createAccount();
        const first = take();
        applyGrant({ operations: 1, operationsPerSecond: 0 });
        const decision = await first as Extract<QuotaDecision, { isAdmitted: true; }>;
        decision.refund();
        decision.refund();
        assert.equal(account.createDemands()!.demands[0]!.heldOperations, 1);
        const second = await take() as typeof decision;
        await clock.advance(quotaConstants.grantMilliseconds);
        second.refund();
        assert.equal(account.createDemands()!.demands[0]!.heldOperations, 0);
    });

    it("loses the grant when the VM was suspended for its duration", async () => {
        const { account, applyGrant, take, clock } = createAccount();
        void take();
        applyGrant();
        clock.suspend(quotaConstants.grantMilliseconds);
        assert.equal(account.createDemands()!.demands[0]!.heldOperations, 0);
    });

    it("measures the end of a grant from its demand, and carries nothing over it", async () => {
        const { account, applyGrant, take, clock } = createAccount();
        void take();
        const { request } = account.createDemands()!;
        await clock.advance(1_000);
        account.applyGrants({ request, granter: "vm-1", number: 1, isContinuation: false, grants: [grant] });
        assert.ok(account.createDemands()!.demands[0]!.heldOperations > 0);
        await clock.advance(quotaConstants.grantMilliseconds - 1_000);
        assert.equal(account.createDemands()!.demands[0]!.heldOperations, 0);
        applyGrant({ operations: 0, operationsPerSecond: 0 });
        assert.equal(account.createDemands()!.demands[0]!.heldOperations, 0);
    });

    it("ignores the continuation of a grant that has ended", async () => {
        const { account, applyGrant, take, clock } = createAccount();
        void take();
        applyGrant();
        await clock.advance(quotaConstants.grantMilliseconds);
        const { request } = account.createDemands()!;
        account.applyGrants({ request, granter: "vm-2", number: 1, isContinuation: true, grants: [grant] });
        await clock.advance(1_000);
        assert.equal(account.createDemands()!.demands[0]!.heldOperations, 0);
    });

    it("ignores an answer to an earlier request", () => {
        const { account, take } = createAccount();
        void take();
        const { request } = account.createDemands()!;
        account.createDemands();
        account.applyGrants({ request, granter: "vm-1", number: 1, isContinuation: false, grants: [grant] });
        assert.equal(account.createDemands()!.demands[0]!.heldOperations, 0);
    });

    it("admits without a grant its part of the excess, once it has run for a window", async () => {
        const { account, clock } = createAccount();
        account.recordVmCount(8);
        await clock.advance(excess.windowMilliseconds + 1);
        let admitted = 0;
        for (let count = 0; count < 50; count += 1) {
            const decision = account.take(workspace);
            admitted += !(decision instanceof Promise) && decision.isAdmitted ? 1 : 0;
        }
        // Of 80 operations beyond the quota, 12 are kept for grants; 8 VMs count as 10.
        assert.equal(admitted, 6);
    });
});
