import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Departure } from "../../promotions/types/Departure.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { createManualClock } from "../createManualClock/index.js";
import { createSimulatedEndpoints } from "../createSimulatedEndpoints/index.js";
import { createSimulatedNetwork } from "../createSimulatedNetwork/index.js";
import { createSimulatedPlatform } from "../createSimulatedPlatform/index.js";
import { createSimulatedStore } from "../createSimulatedStore/index.js";
import { runSimulatedCaller } from "../runSimulatedCaller/index.js";
import { startSimulatedVm } from "../startSimulatedVm/index.js";
import type { HistoryEvent } from "../types/HistoryEvent.js";
import type { SimulatedEnvironment } from "../types/SimulatedEnvironment.js";
import type { SimulatedVm } from "../types/SimulatedVm.js";

/** Options of `createPrimaryFleet`. */
interface PrimaryFleetOptions {
    readonly vmCount?: number;
    /** Number of availability zones. */
    readonly zoneCount?: number;
    readonly groups?: readonly string[];
    /** Number of endpoints of each group that do not run at the start. */
    readonly sparesPerGroup?: number;
    readonly seed?: number;
    /** Whether callers write and read through a VM at the moment; when left out, they always do. */
    readonly hasCallers?: (vmName: string) => boolean;
    /** Receives the log lines of all VMs, with the time of the simulation. */
    readonly log?: LogTopic;
}

const zoneNames = ["a", "b", "c"];

/**
 * Creates VMs that run the product's services on a manual clock, with a simulated network, store, platform and
 * endpoints, and callers that write and read through each VM all the time.
 *
 * @param options Numbers of VMs and zones, groups, and seed.
 * @returns The running fleet, its faults and its history.
 *
 * @example
 * const fleet = createPrimaryFleet({ vmCount: 5 });
 * await fleet.clock.advance(5_000);
 * assert.deepEqual(findStaleWrites(fleet.history), []);
 */
export function createPrimaryFleet(options: PrimaryFleetOptions = {}) {
    const {
        vmCount = 5,
        zoneCount = 2,
        groups = ["orders", "stock"],
        sparesPerGroup = 0,
        seed = 1,
        hasCallers = () => true,
        log = () => {},
    } = options;
    const clock = createManualClock();
    const startedAt = clock.now();
    const random = createRandomSource(seed);
    const zones = zoneNames.slice(0, zoneCount);
    const history: HistoryEvent[] = [];
    const vms = new Map<string, SimulatedVm>();
    const names = Array.from({ length: vmCount }, (_value, index) => `vm-${index + 1}`);

    const network = createSimulatedNetwork(clock, random);
    const store = createSimulatedStore(clock);
    const endpoints = createSimulatedEndpoints({ clock, network, store, groups, zones, history, sparesPerGroup });
    const environment: SimulatedEnvironment = {
        clock,
        network,
        store,
        endpoints,
        platform: createSimulatedPlatform({ clock, endpoints, history }),
        groups,
        history,
        hasCallers,
        findVm: name => vms.get(name),
        log: (message, fields) => log(message, { at: clock.now(), ...fields }),
    };
    names.forEach(start);

    /** Starts a VM that is down; its new process knows nothing of the earlier one. */
    function start(name: string): void {
        if (vms.has(name)) {
            return;
        }
        const availabilityZone = zones[names.indexOf(name) % zones.length]!;
        const vm = startSimulatedVm({
            name,
            availabilityZone,
            seed: random.nextInteger(2 ** 32),
            isFirstStart: clock.now() === startedAt,
            environment,
        });
        vms.set(name, vm);
        for (const group of groups) {
            void runSimulatedCaller(vm, group, AccessMode.Write, environment);
            void runSimulatedCaller(vm, group, AccessMode.Read, environment);
        }
    }

    function kill(name: string): void {
        const vm = vms.get(name);
        if (vm !== undefined) {
            vm.isRunning = false;
            vms.delete(name);
        }
    }

    /** Tells the process of a VM to stop. */
    function stop(name: string): void {
        vms.get(name)?.kernel.get<Departure>(ServiceName.Departure).begin();
    }

    /** Suspends the process of a VM for a time; it does not notice until it continues. */
    function suspend(name: string, milliseconds: number): void {
        const vm = vms.get(name);
        if (vm !== undefined) {
            vm.suspension = clock.sleep(milliseconds);
            void vm.suspension.then(() => {
                vm.suspension = undefined;
            });
        }
    }

    return {
        clock,
        random,
        names,
        groups,
        network,
        store,
        endpoints,
        history,
        start,
        kill,
        stop,
        suspend,
        vmOf: (name: string) => vms.get(name)!,
        /** The VMs that hold the failover duty, as far as they know. */
        holders: () => [...vms.values()].filter(({ duty }) => duty.heldToken() !== undefined).map(({ name }) => name),
        /** Calls a function at a time of the simulation. */
        at: (milliseconds: number, run: () => void) => void clock.startTimer(milliseconds - clock.now(), run),
    };
}
