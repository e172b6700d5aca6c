import { setMaxListeners } from "node:events";
import type { Clock } from "../../clock/types/Clock.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { waitForCondition } from "../../waiting/waitForCondition/index.js";
import { applyFault } from "../applyFault/index.js";
import { checkPromises } from "../checkPromises/index.js";
import { soakConstants } from "../constants.js";
import { endpointFaultKinds } from "../endpointFaultKinds.js";
import { isServedAgain } from "../isServedAgain/index.js";
import { planFaults } from "../planFaults/index.js";
import { runSoakCaller } from "../runSoakCaller/index.js";
import { soakDatabases } from "../soakDatabases.js";
import { startSoakSite } from "../startSoakSite/index.js";
import type { BrokenPromise } from "../types/BrokenPromise.js";
import type { CallerUnit } from "../types/CallerUnit.js";
import type { Fault } from "../types/Fault.js";
import type { LateSpan } from "../types/LateSpan.js";
import type { SoakOptions } from "../types/SoakOptions.js";
import type { SoakResult } from "../types/SoakResult.js";
import type { SoakSite } from "../types/SoakSite.js";

/**
 * Runs the fault soak: real programs as processes, callers at all of them, faults from outside, and then the checks.
 *
 * The seed decides the faults and what callers send; how they meet in time differs from run to run.
 *
 * @param options Seed, duration in milliseconds and sizes.
 * @param clock Source of time.
 * @returns The promises broken, and what was seen.
 * @throws TarragonpostError when the site does not start.
 *
 * @example
 * const { broken } = await runSoak({ seed: 7, milliseconds: 60_000, vmCount: 6, callerCount: 24 }, clock);
 */
export async function runSoak(options: SoakOptions, clock: Clock): Promise<SoakResult> {
    const site = await startSoakSite(options.vmCount, clock);
    try {
        return await runOn(site, options, clock);
    }
    finally {
        await site.stop();
    }
}

async function runOn(site: SoakSite, options: SoakOptions, clock: Clock): Promise<SoakResult> {
    const { seed, milliseconds, callerCount } = options;
    const units: CallerUnit[] = [];
    const faults: Fault[] = [];
    const endpointFaults: number[] = [];
    const lateSpans: LateSpan[] = [];
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    await waitUntilServed(soakConstants.startMilliseconds);

    const callers = Array.from({ length: callerCount }, (_, index) =>
        runSoakCaller({
            name: `caller${index + 1}`,
            clock,
            random: createRandomSource(seed * callerCount + index),
            ports: site.vms.map(vm => vm.callers.port),
            databases: soakDatabases,
            onUnit: unit => units.push(unit),
            signal: end.signal,
        }));
    await injectFaults();
    const faultsEndedAt = clock.now();
    const isServed = await waitUntilServed(soakConstants.recoveryMilliseconds);
    const recoveredMilliseconds = isServed ? Math.round(clock.now() - faultsEndedAt) : undefined;
    end.abort();
    await Promise.all(callers);
    const isAgreed = await waitUntil(areLogsEqual, soakConstants.recoveryMilliseconds);

    const { platform, vms } = site;
    const log = [...platform.findPrimary()?.log ?? []];
    const history = {
        units,
        executed: platform.executedStatements,
        log,
        dropped: platform.discardedEntries,
        endpointFaults,
        lateSpans,
    };
    const broken = [
        ...describeUnless(isServed, "all is served again after the last fault", "a VM or a database is not served"),
        ...describeUnless(isAgreed, "endpoints agree after the last fault", describeLogs()),
        ...vms.flatMap(vm => vm.unexpectedEnds).map(detail => ({ promise: "programs live", detail })),
        ...checkPromises(history),
    ];
    const outputs = Object.fromEntries(vms.map(vm => [vm.name, vm.output()]));
    return { broken, faults, history, recoveredMilliseconds, outputs };

    async function injectFaults(): Promise<void> {
        const startedAt = clock.now();
        const running: Promise<void>[] = [];
        for (const fault of planFaults(createRandomSource(seed), milliseconds)) {
            await clock.sleep(Math.max(startedAt + fault.atMilliseconds - clock.now(), 0));
            faults.push(fault);
            running.push(inject(fault));
        }
        await Promise.all(running);
    }

    async function inject(fault: Fault): Promise<void> {
        const from = clock.now();
        if (fault.kind in endpointFaultKinds) {
            endpointFaults.push(from);
        }
        const endFault = await applyFault(site, fault);
        await clock.sleep(fault.durationMilliseconds);
        await endFault();
        lateSpans.push({
            vm: fault.target % site.vms.length,
            from,
            to: clock.now() + soakConstants.lateMilliseconds,
        });
    }

    function waitUntilServed(limit: number): Promise<boolean> {
        return waitUntil(() => isServedAgain(site, clock), limit);
    }

    function waitUntil(isTrue: () => boolean | Promise<boolean>, limitMilliseconds: number): Promise<boolean> {
        const checkMilliseconds = soakConstants.pollMilliseconds;
        return waitForCondition(isTrue, {
            clock,
            timeoutMilliseconds: limitMilliseconds,
            pollingMilliseconds: checkMilliseconds,
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

function describeUnless(isKept: boolean, promise: string, detail: string): readonly BrokenPromise[] {
    return isKept ? [] : [{ promise, detail }];
}
