import type { Announcement } from "../../duty/types/Announcement.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { createPrimaryFleet } from "../createPrimaryFleet/index.js";
import type { CallFault } from "../types/CallFault.js";
import { FleetFaultKind } from "../types/FleetFaultKind.js";
import type { SimulatedCall } from "../types/SimulatedCall.js";

type Fleet = ReturnType<typeof createPrimaryFleet>;

/** Begins a fault; returns the function that ends it. */
type FaultInjector = (fleet: Fleet, random: RandomSource) => () => void;

/** Options of `drawFleetFaults`. */
interface FleetFaultsOptions {
    readonly random: RandomSource;
    /** Times of the simulation at which a primary fails, in milliseconds; other faults surround each of them. */
    readonly failuresAt: readonly number[];
    /** Time of the simulation at which all faults have ended, in milliseconds. */
    readonly endsAt: number;
    /** Receives a line when a fault begins. */
    readonly log: (line: string) => void;
}

/** Probability that an endpoint starts after VMs were cut off, and the time until it does, in milliseconds. */
const joinProbability = 0.7;
const joinMilliseconds = 200;
const maximumOrderDelayMilliseconds = 2_500;
const maximumCallDelayMilliseconds = 600;
const maximumLinkDelayMilliseconds = 250;
const maximumDurationMilliseconds = 6_000;
const maximumCopyAgeMilliseconds = 15_000;
/** Interval between the stops of a series, and the longest time from the signal to the end of a process. */
const stopIntervalMilliseconds = 1_100;
const maximumStopMilliseconds = 6_000;
const lossProbability = 0.4;
const stepProbability = 0.5;
const maximumFaultsPerFailure = 5;
/** The other faults begin within this time around the failure of a primary, in milliseconds. */
const surroundingMilliseconds = 4_000;

/** Faults after which a primary is replaced. */
const failures: readonly FleetFaultKind[] = [
    FleetFaultKind.EndpointCut,
    FleetFaultKind.EndpointCut,
    FleetFaultKind.HiddenPrimary,
    FleetFaultKind.HiddenPrimary,
    FleetFaultKind.EndpointCrash,
    FleetFaultKind.EndpointLeaving,
];

const injectors: Readonly<Record<FleetFaultKind, FaultInjector>> = {
    [FleetFaultKind.VmPartition]: (fleet, random) => {
        const isolated = drawVms(fleet, random);
        const others = fleet.names.filter(name => !isolated.includes(name));
        const direction = random.nextInteger(3);
        return cutLinks(fleet, isolated, others, direction);
    },
    [FleetFaultKind.VmIsolation]: (fleet, random) => {
        const isolated = drawVms(fleet, random);
        const others = fleet.names.filter(name => !isolated.includes(name));
        const stopped = fleet.endpoints.ids.find(id => !fleet.endpoints.get(id).isRunning);
        if (stopped !== undefined && random.next() < joinProbability) {
            fleet.at(fleet.clock.now() + joinMilliseconds, () => fleet.endpoints.recover(stopped));
        }
        return cutLinks(fleet, isolated, [...others, "store"], 0);
    },
    [FleetFaultKind.EndpointCut]: (fleet, random) => {
        const vms = random.next() < 0.5 ? fleet.names : drawVms(fleet, random);
        return cutLinks(fleet, vms, [drawEndpoint(fleet, random)], 0);
    },
    [FleetFaultKind.HiddenPrimary]: (fleet, random) => {
        const id = drawEndpoint(fleet, random);
        const [reaching, ...others] = random.shuffle(fleet.names);
        const restore = cutLinks(fleet, others, [id], 0);
        const lostProcedures = ["askReached", "command", "announce"].filter(() => random.next() < 0.7);
        const removeRule = fleet.network.addRule(({ to, procedure }) =>
            to === reaching && lostProcedures.includes(procedure) ? { isRequestLost: true } : undefined
        );
        return () => {
            restore();
            removeRule();
        };
    },
    [FleetFaultKind.ReplicationCut]: (fleet, random) => {
        const id = drawEndpoint(fleet, random);
        const { group } = fleet.endpoints.get(id);
        const others = fleet.endpoints.ids.filter(other => other !== id && fleet.endpoints.get(other).group === group);
        return cutLinks(fleet, [id], others, 0);
    },
    [FleetFaultKind.RegistrationCut]: (fleet, random) => cutLinks(fleet, [drawEndpoint(fleet, random)], ["store"], 0),
    [FleetFaultKind.StoreCut]: (fleet, random) => cutLinks(fleet, drawVms(fleet, random), ["store"], 0),
    [FleetFaultKind.StoreRefusal]: (fleet, random) => {
        const names = drawVms(fleet, random);
        names.forEach(name => fleet.store.refusedVms.add(name));
        return () => names.forEach(name => fleet.store.refusedVms.delete(name));
    },
    [FleetFaultKind.StoreOutage]: fleet => {
        fleet.store.isAvailable = false;
        return () => {
            fleet.store.isAvailable = true;
        };
    },
    [FleetFaultKind.StoreRestore]: (fleet, random) => {
        fleet.store.isAvailable = false;
        const ageMilliseconds = random.next() * maximumCopyAgeMilliseconds;
        return () => {
            fleet.store.restoreCopy(ageMilliseconds);
            fleet.store.isAvailable = true;
        };
    },
    [FleetFaultKind.FaultyCalls]: (fleet, random) => {
        const names = drawVms(fleet, random);
        return fleet.network.addRule(({ to }) =>
            names.includes(to) && random.next() < lossProbability
                ? drawCallFault(random, maximumCallDelayMilliseconds)
                : undefined
        );
    },
    [FleetFaultKind.FaultyOrders]: (fleet, random) =>
        fleet.network.addRule(({ procedure }) =>
            procedure === "promote" ? drawCallFault(random, maximumOrderDelayMilliseconds) : undefined
        ),
    [FleetFaultKind.FaultyStoreCalls]: (fleet, random) => {
        const names = drawVms(fleet, random);
        return fleet.network.addRule(({ from, to }) =>
            to === "store" && names.includes(from) && random.next() < lossProbability
                ? drawCallFault(random, maximumOrderDelayMilliseconds)
                : undefined
        );
    },
    [FleetFaultKind.SlowLinks]: (fleet, random) => {
        const names = drawVms(fleet, random);
        return fleet.network.addRule(({ from, to }) =>
            names.includes(from) || names.includes(to)
                ? {
                    requestDelayMilliseconds: random.next() * maximumLinkDelayMilliseconds,
                    answerDelayMilliseconds: random.next() * maximumLinkDelayMilliseconds,
                }
                : undefined
        );
    },
    [FleetFaultKind.VmRestart]: (fleet, random) => restartVms(fleet, drawVms(fleet, random)),
    [FleetFaultKind.VmSuspension]: (fleet, random) => {
        const names = random.next() < 0.6 ? fleet.holders() : drawVms(fleet, random);
        names.forEach(name => fleet.suspend(name, random.next() ** 2 * maximumDurationMilliseconds));
        return () => {};
    },
    [FleetFaultKind.HolderRestart]: fleet => restartVms(fleet, fleet.holders()),
    [FleetFaultKind.VmStop]: (fleet, random) => {
        const names = [...new Set([...random.next() < 0.7 ? fleet.holders() : [], ...drawVms(fleet, random)])];
        names.forEach((name, index) => {
            const stopsAt = fleet.clock.now() + index * stopIntervalMilliseconds;
            fleet.at(stopsAt, () => fleet.stop(name));
            fleet.at(stopsAt + random.next() * maximumStopMilliseconds, () => {
                fleet.kill(name);
                fleet.start(name);
            });
        });
        return () => {};
    },
    [FleetFaultKind.EndpointCrash]: (fleet, random) => {
        const id = drawEndpoint(fleet, random);
        fleet.endpoints.crash(id);
        return () => fleet.endpoints.recover(id);
    },
    [FleetFaultKind.EndpointReset]: (fleet, random) => {
        const replicas = fleet.endpoints.ids.filter(id => !fleet.endpoints.isPresentPrimary(id));
        const id = replicas[random.nextInteger(replicas.length)]!;
        fleet.endpoints.crash(id);
        return () => {
            fleet.endpoints.reset(id);
            fleet.endpoints.recover(id);
        };
    },
    [FleetFaultKind.EndpointLeaving]: (fleet, random) => {
        const endpoint = fleet.endpoints.get(drawEndpoint(fleet, random));
        endpoint.isLeaving = true;
        return () => {
            fleet.endpoints.crash(endpoint.id);
            endpoint.isLeaving = false;
            fleet.endpoints.recover(endpoint.id);
        };
    },
};

/** Draws one VM, some or all of them. */
function drawVms({ names }: Fleet, random: RandomSource): readonly string[] {
    const counts = [1, 1, 2, Math.ceil(names.length / 2), names.length - 1, names.length];
    return random.shuffle(names).slice(0, counts[random.nextInteger(counts.length)]);
}

/** Draws an endpoint; mostly one that leads a group. */
function drawEndpoint({ endpoints, groups }: Fleet, random: RandomSource): string {
    return random.next() < 0.75
        ? endpoints.leaderOf(groups[random.nextInteger(groups.length)]!)
        : endpoints.ids[random.nextInteger(endpoints.ids.length)]!;
}

/** Cuts links in both directions (0), or only from the left to the right (1) or from the right to the left (2). */
function cutLinks(
    { network }: Fleet,
    left: readonly string[],
    right: readonly string[],
    direction: number,
): () => void {
    const pairs = left.flatMap(from => right.map(to => ({ from, to })));
    for (const { from, to } of pairs) {
        if (direction !== 2) {
            network.cutOneWay(from, to);
        }
        if (direction !== 1) {
            network.cutOneWay(to, from);
        }
    }
    return () => pairs.forEach(({ from, to }) => network.restore(from, to));
}

function restartVms(fleet: Fleet, names: readonly string[]): () => void {
    names.forEach(fleet.kill);
    return () => names.forEach(fleet.start);
}

function drawCallFault(random: RandomSource, maximumDelayMilliseconds: number): CallFault {
    const faults: readonly CallFault[] = [
        { isRequestLost: true },
        { isAnswerLost: true },
        { requestDelayMilliseconds: random.next() * maximumDelayMilliseconds },
        { answerDelayMilliseconds: random.next() * maximumDelayMilliseconds },
        { requestDelayMilliseconds: random.next() * maximumDelayMilliseconds, isAnswerLost: true },
    ];
    return faults[random.nextInteger(faults.length)]!;
}

/** Whether a call is a step of a change of primary, at which a fault may begin. */
function isStepOfChange({ procedure, input }: SimulatedCall): boolean {
    return procedure === "promote"
        || (procedure === "announce" && (input as Announcement).phase === AnnouncementPhase.Begun);
}

/**
 * Draws faults of a simulation: primaries that fail, and other faults around each failure, at drawn times or at the steps
 * of the change of primary.
 *
 * @param fleet The fleet.
 * @param options Randomness, times of the failures, and the end of all faults.
 *
 * @example
 * drawFleetFaults(fleet, { random, failuresAt: [3_000, 8_000], endsAt: 14_000, log });
 */
export function drawFleetFaults(fleet: Fleet, options: FleetFaultsOptions): void {
    const { random, failuresAt, endsAt, log } = options;
    const kinds = Object.values(FleetFaultKind);
    let kindsAtSteps: FleetFaultKind[] = [];

    function begin(kind: FleetFaultKind): void {
        const now = fleet.clock.now();
        const duration = Math.min(random.next() ** 2 * maximumDurationMilliseconds, endsAt - now);
        if (duration > 0) {
            log(`${Math.round(now)} ${kind} for ${Math.round(duration)} ms`);
            fleet.at(now + duration, injectors[kind](fleet, random));
        }
    }

    function drawSurroundingFaults(failureAt: number): void {
        kindsAtSteps = [];
        for (let count = random.nextInteger(maximumFaultsPerFailure + 1); count > 0; count -= 1) {
            const kind = kinds[random.nextInteger(kinds.length)]!;
            if (random.next() < stepProbability) {
                kindsAtSteps.push(kind);
            }
            else {
                fleet.at(failureAt + random.next() * surroundingMilliseconds, () => begin(kind));
            }
        }
    }

    for (const failureAt of failuresAt) {
        fleet.at(failureAt, () => {
            drawSurroundingFaults(failureAt);
            begin(failures[random.nextInteger(failures.length)]!);
        });
    }
    fleet.network.addRule(call => {
        if (isStepOfChange(call) && random.next() < stepProbability) {
            const kind = kindsAtSteps.shift();
            if (kind !== undefined) {
                begin(kind);
            }
        }
        return undefined;
    });
    fleet.at(endsAt, () => {
        kindsAtSteps = [];
        fleet.network.restoreAll();
        fleet.names.forEach(fleet.start);
        fleet.endpoints.ids.forEach(fleet.endpoints.recover);
    });
}
