import { setMaxListeners } from "node:events";
import type { Clock } from "../../clock/types/Clock.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { waitForCondition } from "../../waiting/waitForCondition/index.js";
import { checkGuarantees } from "../checkGuarantees/index.js";
import { soakConstants } from "../constants.js";
import { endpointFaultKinds } from "../endpointFaultKinds.js";
import { injectFault } from "../injectFault/index.js";
import { isSiteServing } from "../isSiteServing/index.js";
import { planFaults } from "../planFaults/index.js";
import { runSoakCaller } from "../runSoakCaller/index.js";
import { soakDatabases } from "../soakDatabases.js";
import { soakWorkspaces } from "../soakWorkspaces.js";
import { startSoakSite } from "../startSoakSite/index.js";
import type { CallerUnit } from "../types/CallerUnit.js";
import type { Fault } from "../types/Fault.js";
import type { FaultSpan } from "../types/FaultSpan.js";
import type { GuaranteeViolation } from "../types/GuaranteeViolation.js";
import type { LateSpan } from "../types/LateSpan.js";
import type { SoakOptions } from "../types/SoakOptions.js";
import type { SoakResult } from "../types/SoakResult.js";
import type { SoakSite } from "../types/SoakSite.js";
import type { UnansweredStatement } from "../types/UnansweredStatement.js";

/**
 * Runs the soak test: starts the real programs as processes, connects callers to all of them, injects faults from
 * outside, and then checks the guarantees.
 *
 * The seed determines the faults and the statements of callers; their relative timing differs between runs.
 *
 * @param options Seed, duration in milliseconds and sizes.
 * @param clock Source of time.
 * @returns The violated guarantees and the history of the run.
 * @throws TarragonpostError when the site does not start.
 *
 * @example
 * const options = { seed: 7, durationMilliseconds: 60_000, vmCount: 6, callerCount: 24, isPlannedOnly: false };
 * const { violations } = await runSoak(options, clock);
 */
export async function runSoak(options: SoakOptions, clock: Clock): Promise<SoakResult> {
    const workspaces = options.hasWorkspaces ? soakWorkspaces : undefined;
    const site = await startSoakSite(options.vmCount, clock, workspaces);
    try {
        return await runOnSite(site, options, clock);
    }
    finally {
        await site.stop();
    }
}

async function runOnSite(site: SoakSite, options: SoakOptions, clock: Clock): Promise<SoakResult> {
    const { seed, durationMilliseconds, callerCount, isPlannedOnly } = options;
    const units: CallerUnit[] = [];
    const faults: Fault[] = [];
    const endpointFaults: number[] = [];
    const lateSpans: LateSpan[] = [];
    const faultSpans: FaultSpan[] = [];
    const unansweredStatements: UnansweredStatement[] = [];
    const closeController = new AbortController();
    setMaxListeners(0, closeController.signal);
    await waitUntilServed(soakConstants.startTimeoutMilliseconds);

    const callers = Array.from({ length: callerCount }, (_, index) =>
        runSoakCaller({
            name: `caller${index + 1}`,
            clock,
            random: createRandomSource(seed * callerCount + index),
            ports: site.vms.map(vm => vm.callerLink.port),
            databases: soakDatabases,
            workspace: site.workspaces?.[index % site.workspaces.length],
            onUnit: unit => units.push(unit),
            onUnanswered: statement => unansweredStatements.push(statement),
            signal: closeController.signal,
        }));
    await injectFaults();
    const faultsEndedAt = clock.now();
    const isServed = await waitUntilServed(soakConstants.recoveryTimeoutMilliseconds);
    const recoveredMilliseconds = isServed ? Math.round(clock.now() - faultsEndedAt) : undefined;
    closeController.abort();
    await Promise.all(callers);
    const areLogsIdentical = await waitUntil(areLogsEqual, soakConstants.recoveryTimeoutMilliseconds);

    const { platform, vms } = site;
    const log = [...platform.findPrimary()?.log ?? []];
    const history = {
        units,
        unansweredStatements,
        executedStatements: platform.executedStatements,
        log,
        discardedEntries: platform.discardedEntries,
        endpointFaults,
        lateSpans,
        faultSpans,
    };
    const violations = [
        ...createViolationUnless(
            isServed,
            "all is served again after the last fault",
            "a VM or a database is not served",
        ),
        ...createViolationUnless(areLogsIdentical, "endpoints agree after the last fault", describeLogs()),
        ...vms.flatMap(vm => vm.unexpectedExits).map(detail => ({ promise: "programs live", detail })),
        ...checkGuarantees(history),
    ];
    const outputs = Object.fromEntries(vms.map(vm => [vm.name, vm.output()]));
    return { violations, faults, history, recoveredMilliseconds, outputs };

    async function injectFaults(): Promise<void> {
        const startedAt = clock.now();
        const running: Promise<void>[] = [];
        for (const fault of planFaults(createRandomSource(seed), durationMilliseconds, isPlannedOnly)) {
            await clock.sleep(Math.max(startedAt + fault.atMilliseconds - clock.now(), 0));
            faults.push(fault);
            running.push(runFault(fault));
        }
        await Promise.all(running);
    }

    async function runFault(fault: Fault): Promise<void> {
        const from = clock.now();
        const vm = fault.target % site.vms.length;
        if (fault.kind in endpointFaultKinds) {
            endpointFaults.push(from);
        }
        const endFault = await injectFault(site, fault);
        await clock.sleep(fault.durationMilliseconds);
        await endFault?.();
        const to = clock.now();
        lateSpans.push({ vm, from, to: to + soakConstants.lateToleranceMilliseconds });
        if (endFault !== undefined) {
            const { endpoints } = site.platform;
            faultSpans.push({
                kind: fault.kind,
                vm,
                endpointId: endpoints[fault.target % endpoints.length]!.id,
                from,
                to,
            });
        }
    }

    function waitUntilServed(timeoutMilliseconds: number): Promise<boolean> {
        return waitUntil(() => isSiteServing(site, clock), timeoutMilliseconds);
    }

    function waitUntil(isTrue: () => boolean | Promise<boolean>, timeoutMilliseconds: number): Promise<boolean> {
        const pollingMilliseconds = soakConstants.pollingMilliseconds;
        return waitForCondition(isTrue, {
            clock,
            timeoutMilliseconds,
            pollingMilliseconds,
        });
    }

    function areLogsEqual(): boolean {
        const [first, ...others] = site.platform.endpoints.map(({ log: entries }) => entries);
        return others.every(entries => entries.length === first!.length && entries.at(-1) === first!.at(-1));
    }

    function describeLogs(): string {
        return site.platform.endpoints
            .map(({ id, log: { length }, isPrimary }) => `${id}${isPrimary ? ", the primary," : ""} holds ${length}`)
            .join("; ");
    }
}

function createViolationUnless(isFulfilled: boolean, promise: string, detail: string): readonly GuaranteeViolation[] {
    return isFulfilled ? [] : [{ promise, detail }];
}
