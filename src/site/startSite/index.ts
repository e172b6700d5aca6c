import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LoadTarget } from "../../load/types/LoadTarget.js";
import type { Address } from "../../network/types/Address.js";
import { siteConstants } from "../constants.js";
import { createExitWatch } from "../createExitWatch/index.js";
import { createSiteConfiguration } from "../createSiteConfiguration/index.js";
import { listProgramSettings } from "../listProgramSettings/index.js";
import { planSite } from "../planSite/index.js";
import { startProcess } from "../startProcess/index.js";
import { stopProcess } from "../stopProcess/index.js";
import { submitPatch } from "../submitPatch/index.js";
import type { Site } from "../types/Site.js";
import type { SiteDescription } from "../types/SiteDescription.js";
import type { SitePlan } from "../types/SitePlan.js";
import type { SiteProcess } from "../types/SiteProcess.js";
import type { SiteProgram } from "../types/SiteProgram.js";
import { waitForPrimaries } from "../waitForPrimaries/index.js";
import { waitForReadiness } from "../waitForReadiness/index.js";
import { waitForService } from "../waitForService/index.js";

/**
 * Starts all programs of a site as separate processes and waits until callers are served.
 *
 * If the start fails, all processes that were started are stopped.
 *
 * @param description The site.
 * @returns The running site; the test or benchmark that starts it must stop it.
 * @throws TarragonpostError when a process exits or does not become ready.
 *
 * @example
 * const site = await startSite(describeSmallSite(7));
 * try { await runLoad(services); } finally { await site.stop(); }
 */
export async function startSite(description: SiteDescription): Promise<Site> {
    const plan = await planSite(description);
    const target = createTarget(plan);
    const folder = await mkdtemp(join(tmpdir(), "tarragonpost-site-"));
    const programs = listProgramSettings(plan);
    const processes = new Map<string, SiteProcess>();
    const exits = createExitWatch();

    async function start(program: SiteProgram): Promise<void> {
        const settingsFile = join(folder, `${program.name}.jsonc`);
        await writeFile(settingsFile, JSON.stringify(program.settings, undefined, 4));
        const { runtimeArguments = [] } = description;
        const started = startProcess(program.name, program.binary, { settingsFile, runtimeArguments });
        processes.set(program.name, started);
        exits.watch(started);
        await waitForReadiness(started, (program.settings as { listen: Address; }).listen);
    }

    async function stop(): Promise<void> {
        await Promise.all([...processes.values()].reverse().map(stopProcess));
        await rm(folder, { recursive: true, force: true });
        await plan.reservation.release();
    }

    async function restart(name: string): Promise<void> {
        await start(programs.find(program => program.name === name) as SiteProgram);
    }

    function findProcess(name: string): SiteProcess {
        const found = processes.get(name);
        if (found === undefined) {
            throw createError(ErrorKind.NotFound, `The site has no process ${name}.`, {
                remedy: `Use one of ${[...processes.keys()].join(", ")}.`,
            });
        }
        return found;
    }

    try {
        const [platform, ...others] = programs;
        await start(platform as SiteProgram);
        await Promise.all(others.map(start));
        await writeOperatorSettings(plan, folder);
        await submitPatch(plan, createSiteConfiguration(plan, target), { against: 0, folder });
        await exits.waitFor(waitForPrimaries(plan));
        await exits.waitFor(waitForService(target));
    }
    catch (error) {
        await stop();
        throw error;
    }
    return { plan, target, folder, unexpectedExits: exits.unexpectedExits, findProcess, restart, stop };
}

async function writeOperatorSettings(plan: SitePlan, folder: string): Promise<void> {
    const settings = { gateways: plan.vms.map(vm => vm.gateway), peerSecret: siteConstants.peerSecret };
    await writeFile(join(folder, siteConstants.operatorSettingsFile), JSON.stringify(settings, undefined, 4));
}

function createTarget(plan: SitePlan): LoadTarget {
    return {
        entries: plan.vms.map(vm => ({ name: `${vm.name}-entry`, region: vm.region, ...vm.entry })),
        callers: plan.description.callers.map(name => ({ name, key: `key-of-${name}` })),
        databases: plan.description.databases,
    };
}
