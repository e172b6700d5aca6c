import { encode } from "@msgpack/msgpack";
import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../../duty/constants.js";
import { createQuotaAccount } from "../../quotas/createQuotaAccount/index.js";
import { createQuotaGranter } from "../../quotas/createQuotaGranter/index.js";
import type { QuotaDemands } from "../../quotas/types/QuotaDemands.js";
import type { QuotaExcess } from "../../quotas/types/QuotaExcess.js";
import { QuotaOutcome } from "../../quotas/types/QuotaOutcome.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import { createEventTime } from "../createEventTime/index.js";
import { createSharedGrantRecords } from "../createSharedGrantRecords/index.js";
import type { QuotaFleetVm } from "../types/QuotaFleetVm.js";

/** Options of `createQuotaFleet`. */
interface QuotaFleetOptions {
    readonly vmCount: number;
    readonly quota: Quota;
    readonly excess: QuotaExcess;
    readonly seed: number;
    /** Share of the messages that are lost, late or doubled each. */
    readonly faultShare?: number;
}

const workspace = "acme";
const renewalMilliseconds = dutyConstants.renewalMilliseconds;
const longestDelayMilliseconds = 20;
const longestLateMilliseconds = 3_000;
const verificationMilliseconds = dutyConstants.verificationIntervalMilliseconds;

/**
 * Creates VMs that share the quota of one workspace, with the product's decisions and a network, a store and clocks of the
 * test. Calls may be lost, late or doubled; any VM may take over the duty at any time, also from a holder that is well.
 *
 * @param options Number of VMs, quota, excess and seed.
 * @returns The fleet. VM 0 is the holder; nothing has been asked for.
 *
 * @example
 * fleet.vms[3].operationsPerSecond = 200;
 * fleet.advance(10_000);
 * fleet.admittedAt.length;
 */
export function createQuotaFleet(options: QuotaFleetOptions) {
    const { excess, faultShare = 0 } = options;
    const time = createEventTime();
    const random = createRandomSource(options.seed);
    const admittedAt: number[] = [];
    /** Bytes of demands and grants of each answered renewal. */
    const messageBytes: number[] = [];
    let record = { token: 1, index: 0 };
    const seenQuotas = new Map<QuotaFleetVm, Quota>();
    const recordOf = createSharedGrantRecords();

    const vms = Array.from({ length: options.vmCount }, (_unused, index): QuotaFleetVm => {
        const vm = {
            name: `vm-${index}`,
            incarnation: 0,
            isRunning: true,
            deferred: [],
            suspendedMilliseconds: 0,
            isCut: false,
            holder: record,
            verified: undefined,
            operationsPerSecond: 0,
            outcomes: new Map<QuotaOutcome, number>(),
        };
        return { ...vm, quotas: undefined as never };
    });

    function clockOf(vm: QuotaFleetVm): Clock {
        return {
            now: () => time.now() - vm.suspendedMilliseconds,
            wallTime: time.now,
            sleep: () => Promise.reject(new Error("nothing sleeps in this test")),
            startTimer: (milliseconds, onElapsed) => schedule(vm, milliseconds, onElapsed),
        };
    }

    /** Schedules an event of the present process of a VM; it is deferred while that does not run. */
    function schedule(vm: QuotaFleetVm, milliseconds: number, run: () => void): () => void {
        const { incarnation } = vm;
        let isCancelled = false;
        const runIfAlive = (): void => {
            if (vm.incarnation !== incarnation || isCancelled) {
                return;
            }
            if (vm.isRunning) {
                run();
            }
            else {
                vm.deferred.push(runIfAlive);
            }
        };
        time.schedule(milliseconds, runIfAlive);
        return () => {
            isCancelled = true;
        };
    }

    function startProcess(vm: QuotaFleetVm): void {
        const shared = { clock: clockOf(vm), excess, log: () => {} };
        vm.quotas = {
            ...createQuotaAccount({
                ...shared,
                metrics: { countQuotaDecision: outcome => recordDecision(vm, outcome) },
            }),
            ...createQuotaGranter({
                ...shared,
                name: `${vm.name}-${vm.incarnation}`,
                record: recordOf(`${vm.name}-${vm.incarnation}`),
                quotaOf: () => quotaOf(vm),
                metrics: { countQuotaGrants: () => {} },
            }),
        };
        vm.quotas.recordVmCount(vms.length);
        vm.verified = undefined;
        schedule(vm, random.next() * renewalMilliseconds, () => renewRepeatedly(vm));
        schedule(vm, 0, () => verifyRepeatedly(vm));
        schedule(vm, random.next(), () => askRepeatedly(vm));
    }

    function quotaOf(vm: QuotaFleetVm): Quota {
        return seenQuotas.get(vm) ?? options.quota;
    }

    function recordDecision(vm: QuotaFleetVm, outcome: QuotaOutcome): void {
        vm.outcomes.set(outcome, (vm.outcomes.get(outcome) ?? 0) + 1);
        if (outcome !== QuotaOutcome.Refused) {
            admittedAt.push(time.now());
        }
    }

    function askRepeatedly(vm: QuotaFleetVm): void {
        const { operationsPerSecond } = vm;
        if (operationsPerSecond > 0) {
            void vm.quotas.take({ name: workspace, keyDigests: [], priority: 0, quota: quotaOf(vm) });
        }
        const pause = operationsPerSecond > 0 ? -Math.log(1 - random.next()) * 1_000 / operationsPerSecond : 50;
        schedule(vm, pause, () => askRepeatedly(vm));
    }

    function isCertainHolder(vm: QuotaFleetVm): boolean {
        return vms[vm.holder.index] === vm
            && vm.verified !== undefined
            && vm.verified() < dutyConstants.verifiedMilliseconds;
    }

    function verifyRepeatedly(vm: QuotaFleetVm): void {
        if (vms[vm.holder.index] === vm) {
            const elapsed = startElapsedTimer(clockOf(vm));
            const { token } = record;
            schedule(vm, random.next() * longestDelayMilliseconds, () => {
                if (token === vm.holder.token) {
                    vm.verified = elapsed;
                }
                else {
                    learnHolder(vm);
                }
            });
        }
        schedule(vm, verificationMilliseconds, () => verifyRepeatedly(vm));
    }

    function learnHolder(vm: QuotaFleetVm): void {
        vm.holder = record.token > vm.holder.token ? record : vm.holder;
    }

    function renewRepeatedly(vm: QuotaFleetVm): void {
        const target = vms[vm.holder.index]!;
        if (target === vm) {
            grantToSelf(vm);
        }
        else {
            const demands = vm.quotas.createDemands();
            deliver(vm, target, () => answer(target, vm, demands));
        }
        schedule(vm, renewalMilliseconds, () => renewRepeatedly(vm));
    }

    function grantToSelf(vm: QuotaFleetVm): void {
        if (!isCertainHolder(vm)) {
            return;
        }
        const demands = vm.quotas.createDemands();
        vm.quotas.recordRenewal(vm.name, demands !== undefined);
        const grants = demands && vm.quotas.answerDemands({ name: vm.name, incarnation: "itself" }, demands);
        if (grants !== undefined) {
            vm.quotas.applyGrants(grants);
        }
    }

    function answer(holder: QuotaFleetVm, vm: QuotaFleetVm, demands: QuotaDemands | undefined): void {
        if (!isCertainHolder(holder)) {
            return;
        }
        holder.quotas.recordRenewal(vm.name, demands !== undefined);
        if (demands === undefined) {
            return;
        }
        const sender = { name: vm.name, incarnation: `${vm.incarnation}` };
        const grants = holder.quotas.answerDemands(sender, demands);
        if (grants !== undefined) {
            messageBytes.push(encode(demands).length + encode(grants).length);
            deliver(holder, vm, () => vm.quotas.applyGrants(grants));
        }
    }

    /** Delivers a message once, or with a fault: not at all, late, or twice. */
    function deliver(from: QuotaFleetVm, to: QuotaFleetVm, receive: () => void): void {
        if (from.isCut || to.isCut) {
            return;
        }
        const delay = random.next() * longestDelayMilliseconds;
        const late = random.next() * longestLateMilliseconds;
        const fault = random.next();
        const delays = fault < faultShare
            ? []
            : fault < 2 * faultShare
            ? [late]
            : fault < 3 * faultShare
            ? [delay, late]
            : [delay];
        delays.forEach(milliseconds => schedule(to, milliseconds, receive));
    }

    /** Has a VM take over the duty, whatever the present holder does. The others learn of it one by one. */
    function takeOver(index: number, waitMilliseconds: number = dutyConstants.verifiedMilliseconds): void {
        const vm = vms[index]!;
        record = { token: record.token + 1, index };
        learnHolder(vm);
        vm.verified = undefined;
        vm.quotas.startGranting(clockOf(vm).now() + waitMilliseconds);
        vms.filter(other => other !== vm).forEach(other =>
            schedule(other, random.next() * renewalMilliseconds, () => {
                if (!other.isCut) {
                    learnHolder(other);
                }
            })
        );
    }

    /** Stops a VM for a time; with `isSuspended`, its monotonic clock stands still. */
    function pause(index: number, milliseconds: number, isSuspended: boolean): void {
        const vm = vms[index]!;
        if (!vm.isRunning) {
            return;
        }
        vm.isRunning = false;
        time.schedule(milliseconds, () => {
            vm.isRunning = true;
            vm.suspendedMilliseconds += isSuspended ? milliseconds : 0;
            vm.deferred.splice(0).forEach(run => run());
        });
    }

    function restart(index: number): void {
        const vm = vms[index]!;
        vm.incarnation += 1;
        vm.holder = record;
        startProcess(vm);
        if (record.index === index) {
            // The former process of this VM has ended, so that it grants nothing any more.
            takeOver(index, 0);
        }
    }

    vms.forEach(startProcess);
    return {
        vms,
        admittedAt,
        messageBytes,
        now: time.now,
        /** Index of the VM that the store records as the holder. */
        holder: () => record.index,
        advance: time.advance,
        schedule: time.schedule,
        takeOver,
        pause,
        restart,
        cut: (index: number, milliseconds: number) => {
            vms[index]!.isCut = true;
            time.schedule(milliseconds, () => {
                vms[index]!.isCut = false;
                learnHolder(vms[index]!);
            });
        },
        /** Changes the quota; each VM applies it after its own delay, at most so many milliseconds. */
        changeQuota: (next: Quota, milliseconds: number) => {
            vms.forEach(vm => time.schedule(random.next() * milliseconds, () => seenQuotas.set(vm, next)));
        },
    };
}
