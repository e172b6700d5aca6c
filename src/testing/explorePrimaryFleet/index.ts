import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createPrimaryFleet } from "../createPrimaryFleet/index.js";
import { drawFleetFaults } from "../drawFleetFaults/index.js";
import { findIdleGroups } from "../findIdleGroups/index.js";
import { findStaleReads } from "../findStaleReads/index.js";
import { findStaleWrites } from "../findStaleWrites/index.js";
import { findTokenFaults } from "../findTokenFaults/index.js";

/** What a simulation with drawn faults broke. */
interface ExplorationFindings {
    readonly staleWrites: readonly string[];
    readonly staleReads: readonly string[];
    readonly tokenFaults: readonly string[];
    /** Groups whose writes are not acknowledged again after all faults have ended. */
    readonly idleGroups: readonly string[];
}

/** With eight VMs in one zone, some are no hosts. */
const vmCounts = [3, 4, 5, 6, 8, 8];
const firstFailureAt = 3_000;
const failureIntervalMilliseconds = 5_000;
const maximumFailures = 4;
/** Time after all faults within which the writes of each group have to be acknowledged again, in milliseconds. */
const recoveryMilliseconds = 20_000;
/** Time for which a simulation continues at least after all faults, in milliseconds. */
const leastMilliseconds = 6_000;
const stepMilliseconds = 2_000;

/**
 * Runs a simulation whose size and faults are drawn by a seed, and checks its history.
 *
 * @param seed Any integer.
 * @param log Receives the faults and the log lines of the VMs.
 * @returns What the simulation broke.
 *
 * @example
 * const { staleWrites } = await explorePrimaryFleet(42);
 */
export async function explorePrimaryFleet(
    seed: number,
    log: (line: string) => void = () => {},
): Promise<ExplorationFindings> {
    const random = createRandomSource(seed);
    const fleet = createPrimaryFleet({
        vmCount: vmCounts[random.nextInteger(vmCounts.length)]!,
        zoneCount: 1 + random.nextInteger(3),
        seed,
        sparesPerGroup: 1,
        log: (message, fields) => log(JSON.stringify({ message, ...fields })),
    });
    const failureCount = 1 + random.nextInteger(maximumFailures);
    const failuresAt = Array.from(
        { length: failureCount },
        (_value, index) => firstFailureAt + index * failureIntervalMilliseconds,
    );
    const endsAt = firstFailureAt + failureCount * failureIntervalMilliseconds;
    drawFleetFaults(fleet, { random, failuresAt, endsAt, log });
    await fleet.clock.advance(endsAt + leastMilliseconds);

    let idleGroups: readonly string[];
    do {
        const since = fleet.clock.now();
        await fleet.clock.advance(stepMilliseconds);
        idleGroups = findIdleGroups(fleet.history, fleet.groups, since);
    }
    while (idleGroups.length > 0 && fleet.clock.now() < endsAt + recoveryMilliseconds);
    return {
        staleWrites: findStaleWrites(fleet.history),
        staleReads: findStaleReads(fleet.history),
        tokenFaults: findTokenFaults(fleet.history),
        idleGroups,
    };
}
