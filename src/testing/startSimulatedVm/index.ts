import type { Directory } from "../../directory/types/Directory.js";
import type { Duty } from "../../duty/types/Duty.js";
import { createKernel } from "../../kernel/createKernel/index.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { createProcessClock } from "../createProcessClock/index.js";
import { createProcessNetwork } from "../createProcessNetwork/index.js";
import { createVmSettings } from "../createVmSettings/index.js";
import { listSimulatedServices } from "../listSimulatedServices/index.js";
import type { SimulatedEnvironment } from "../types/SimulatedEnvironment.js";
import type { SimulatedVm } from "../types/SimulatedVm.js";

/** Options of `startSimulatedVm`. */
interface SimulatedVmOptions {
    readonly name: string;
    readonly availabilityZone: string;
    /** Seed of the randomness of this run of the program. */
    readonly seed: number;
    /** Whether the whole simulation starts. */
    readonly isFirstStart: boolean;
    readonly environment: SimulatedEnvironment;
}

/**
 * Starts the program of a VM of a simulation, without its servers for callers.
 *
 * @param options Name and availability zone of the VM, the seed, and the environment.
 * @returns The running program.
 *
 * @example
 * const vm = startSimulatedVm({ name: "vm-1", availabilityZone: "a", seed: 1, environment });
 */
export function startSimulatedVm(options: SimulatedVmOptions): SimulatedVm {
    const { name, availabilityZone, seed, isFirstStart } = options;
    const waitForProcess = async (): Promise<void> => {
        await vm.suspension;
        if (!vm.isRunning) {
            await new Promise<never>(() => {});
        }
    };
    const clock = createProcessClock(options.environment.clock, waitForProcess);
    const environment = {
        ...options.environment,
        network: createProcessNetwork(options.environment.network, waitForProcess),
    };
    const settings = createVmSettings({
        name,
        availabilityZone,
        isFirstStart,
        peerAddress: { host: name, port: 1, availabilityZone },
    });
    const kernel = createKernel(listSimulatedServices({ environment, settings, clock, seed }));
    const vm: SimulatedVm = {
        name,
        clock,
        isRunning: true,
        suspension: undefined,
        waitForProcess,
        kernel,
        directory: kernel.get<Directory>(ServiceName.Directory),
        duty: kernel.get<Duty>(ServiceName.Duty),
        primaries: kernel.get<Primaries>(ServiceName.Primaries),
        router: kernel.get<Pick<SimulatedVm, "router">>(ServiceName.TransportServer).router,
    };
    void kernel.start();
    return vm;
}
