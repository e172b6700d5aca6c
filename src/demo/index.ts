import { createSystemClock } from "../clock/createSystemClock/index.js";
import { defaultPlan } from "../load/defaultPlan/index.js";
import { formatLoadSummary } from "../load/formatLoadSummary/index.js";
import type { CauseFaults } from "../load/types/CauseFaults.js";
import { describeNeedlepoint } from "../site/describeNeedlepoint/index.js";
import { killPrimary } from "../site/killPrimary/index.js";
import { offerSiteLoad } from "../site/offerSiteLoad/index.js";
import { startSite } from "../site/startSite/index.js";
import { submitPatch } from "../site/submitPatch/index.js";

const demonstration = {
    seed: 20,
    sessionCount: 48,
    durationMilliseconds: 12_000,
    killDelayMilliseconds: 3_000,
    patchDelayMilliseconds: 3_000,
    replicaWaitMilliseconds: 60,
} as const;

const clock = createSystemClock();
const print = (line: string): boolean => process.stdout.write(`${line}\n`);
print("Starting the Needlepoint site: 2 regions, 8 VMs, 3 databases of 3 endpoints.");
const site = await startSite(describeNeedlepoint(demonstration.seed));
try {
    const causeFaults: CauseFaults = async recordFault => {
        await clock.sleep(demonstration.killDelayMilliseconds);
        const killed = await killPrimary(site.plan, "catalog-1", recordFault);
        print(`Killed the primary ${killed.name}.`);
        await clock.sleep(demonstration.patchDelayMilliseconds);
        const { folder, plan } = site;
        const patch = { limits: { replicaWaitMilliseconds: demonstration.replicaWaitMilliseconds } };
        print(await submitPatch(plan, patch, { against: 1, folder, waitsUntilInForce: true }));
    };
    const { sessionCount, durationMilliseconds, seed } = demonstration;
    print(`Offering load of ${sessionCount} sessions for ${durationMilliseconds / 1_000} s.`);
    const plan = { ...defaultPlan, seed, sessionCount, durationMilliseconds };
    const { summary, verdict } = await offerSiteLoad(site, plan, causeFaults);
    print(formatLoadSummary(summary, verdict));
    site.unexpectedExits.forEach(print);
    process.exitCode = verdict.isSound && site.unexpectedExits.length === 0 ? 0 : 1;
}
finally {
    await site.stop();
}
