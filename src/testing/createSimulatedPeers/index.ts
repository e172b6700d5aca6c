import type { AnyTRPCRouter } from "@trpc/server";
import { dutyConstants } from "../../duty/constants.js";
import type { Address } from "../../network/types/Address.js";
import { trpc } from "../../transport/trpc/index.js";
import type { PeerContext } from "../../transport/types/PeerContext.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { SimulatedEnvironment } from "../types/SimulatedEnvironment.js";

/** Calls one procedure of another VM. */
type ProcedureCall = (input: unknown) => Promise<unknown>;

/** Longest time for which a lost call stays in memory, in milliseconds; the caller's own timeout is shorter. */
const maximumTimeoutMilliseconds = 10 * dutyConstants.callTimeoutMilliseconds;

/**
 * Creates the clients with which one VM of a simulation calls the others, through their routers.
 *
 * @param vmName Name of the calling VM.
 * @param environment The network and the other VMs.
 * @returns The clients.
 *
 * @example
 * const peerOf = createVmPeers(createSimulatedPeers("vm-1", environment), clock);
 */
export function createSimulatedPeers(vmName: string, environment: SimulatedEnvironment): Peers {
    const { network, findVm } = environment;
    const context: PeerContext = { peerName: vmName, peerZone: "", connectionEnd: new AbortController().signal };

    async function execute(to: string, procedure: string, input: unknown): Promise<unknown> {
        const vm = findVm(to);
        if (vm === undefined) {
            throw new Error(`${to} is not running`);
        }
        await vm.waitForProcess();
        const procedures = createProcedures(vm.router, context);
        return await procedures[procedure]!(structuredClone(input));
    }

    function createCall(to: string, procedure: string): ProcedureCall {
        return input => {
            const call = { from: vmName, to, procedure, input, timeoutMilliseconds: maximumTimeoutMilliseconds };
            return network.send(call, async () => structuredClone(await execute(to, procedure, input)));
        };
    }

    function clientOf({ host }: Address): unknown {
        const duty = new Proxy({}, {
            get: (_target, procedure) => {
                const call = createCall(host, String(procedure));
                return { query: call, mutate: call };
            },
        });
        return { duty };
    }

    return { clientOf: clientOf as Peers["clientOf"], stop: async () => {} };
}

function createProcedures(router: AnyTRPCRouter, context: PeerContext): Readonly<Record<string, ProcedureCall>> {
    const caller = trpc.createCallerFactory(router)(context) as unknown as {
        readonly duty: Readonly<Record<string, ProcedureCall>>;
    };
    return caller.duty;
}
