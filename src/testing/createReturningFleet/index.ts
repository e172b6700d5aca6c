import { createPlacement } from "../../placement/createPlacement/index.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createEndpointRecord } from "../createEndpointRecord/index.js";
import { createLimitedEndpoints } from "../createLimitedEndpoints/index.js";
import { createManualClock } from "../createManualClock/index.js";
import { createPopulatedDirectory } from "../createPopulatedDirectory/index.js";
import { offerLoad } from "../offerLoad/index.js";

/** Options of `createReturningFleet`. */
interface ReturningFleetOptions {
    readonly seed: number;
    /** VMs that start at once, and how many of them are hosts. */
    readonly vmCount: number;
    readonly hostCount: number;
    /** When the VMs know each other, and hosts know that they are hosts. */
    readonly knownAt: number;
    /** Connections of before that each endpoint still counts, and for how long. */
    readonly darkConnections: number;
    readonly darkMilliseconds: number;
    /** Number of operations that each VM's callers ask for at once at the start. */
    readonly burstOperations: number;
    /** Operations per second at each VM from then on; half of them need the primary. */
    readonly operationsPerSecond: number;
}

const records = ["i-1", "i-2", "i-3"].map((id, index) =>
    createEndpointRecord({
        id,
        isPrimary: index === 0,
        address: { host: "127.0.0.1", port: index + 1, availabilityZone: "a" },
    })
);
const minimumAssumedVms = 8;

/**
 * Creates VMs that start at the same moment, with fakes of a group's three endpoints, and their callers.
 *
 * @param options Number of VMs, connections that the endpoints still count, and load.
 * @returns The clock, the endpoints, and a function that plays the callers.
 *
 * @example
 * const { clock, endpoints, play } = createReturningFleet(options);
 */
export function createReturningFleet(options: ReturningFleetOptions) {
    const { vmCount, hostCount, knownAt, burstOperations } = options;
    const clock = createManualClock();
    const random = createRandomSource(options.seed);
    const endpoints = createLimitedEndpoints({
        clock,
        connectionLimit: 21,
        slots: 3,
        workMilliseconds: 10,
        openMilliseconds: 10,
        darkConnections: options.darkConnections,
        darkMilliseconds: options.darkMilliseconds,
    });

    function createVm(index: number) {
        const directory = createPopulatedDirectory(clock, records);
        return createPlacement({
            clock,
            random,
            directory,
            primaries: createPrimaries(clock, directory, () => {}),
            open: endpoints.open,
            vmLocation: { availabilityZone: "a", region: "north", regionsByZone: { a: "north" } },
            vmCount: () => minimumAssumedVms,
            isHolding: () => clock.now() >= knownAt && index < hostCount,
            metrics: { countConnection: () => {}, countWaitRefusal: () => {}, registerGauge: () => {} },
            log: () => {},
        });
    }

    const placements = Array.from({ length: vmCount }, (_, index) => createVm(index));

    async function play(milliseconds: number) {
        const outcomes = Promise.all(placements.flatMap(placement =>
            [true, false].flatMap(needsPrimary => {
                const offer = (operationsPerSecond: number, lasting: number) =>
                    offerLoad({ clock, random, placement }, {
                        owner: "clover",
                        operationsPerSecond,
                        milliseconds: lasting,
                        needsPrimary,
                    });
                return [offer(500 * burstOperations, 1), offer(options.operationsPerSecond / 2, milliseconds)];
            })
        ));
        await clock.advance(2 * milliseconds);
        return (await outcomes).flat();
    }

    return { clock, endpoints, play };
}
