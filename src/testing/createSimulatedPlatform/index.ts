import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { promotionConstants } from "../../promotions/constants.js";
import type { PromotionOrders } from "../../promotions/types/PromotionOrders.js";
import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";
import type { SimulatedEndpoints } from "../types/SimulatedEndpoints.js";
import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";

/** Options of `createSimulatedPlatform`. */
interface SimulatedPlatformOptions {
    readonly clock: Clock;
    readonly endpoints: SimulatedEndpoints;
    readonly history: HistoryEvent[];
}

/** The platform's service that promotes endpoints. */
interface SimulatedPlatform {
    /** Creates the client of one VM, which uses that VM's network. */
    createClient(vmName: string, network: SimulatedNetwork): PromotionOrders;
}

/** Time after the arrival of an order at which the promotion takes effect, in milliseconds. */
const promotionMilliseconds = 600;

/**
 * Creates the service of a simulation that promotes endpoints. It does not check fencing tokens, but records them.
 *
 * @param options Clock, endpoints and history.
 * @returns The service.
 *
 * @example
 * const orders = createSimulatedPlatform({ clock, endpoints, history }).createClient("vm-1", network);
 */
export function createSimulatedPlatform(options: SimulatedPlatformOptions): SimulatedPlatform {
    const { clock, endpoints, history } = options;

    function accept({ endpointId, holderName, fencingToken }: Parameters<PromotionOrders["promote"]>[0]): void {
        history.push({ kind: HistoryEventKind.Order, at: clock.now(), holderName, fencingToken, endpointId });
        if (!endpoints.get(endpointId).isRunning) {
            throw createError(ErrorKind.Conflict, `Endpoint ${endpointId} is not running.`, {
                remedy: "Choose another endpoint.",
            });
        }
        if (!endpoints.isPresentPrimary(endpointId)) {
            clock.startTimer(promotionMilliseconds, () => endpoints.promote(endpointId));
        }
    }

    return {
        createClient: (vmName, network) => ({
            promote: async order => {
                const timeoutMilliseconds = promotionConstants.orderTimeoutMilliseconds;
                const call = { from: vmName, to: "platform", procedure: "promote", input: order, timeoutMilliseconds };
                try {
                    await network.send(call, () => accept(order));
                }
                catch (error) {
                    if (toTypedError(error).kind !== ErrorKind.DeadlineExceeded) {
                        throw error;
                    }
                    throw createError(ErrorKind.OutcomeUnknown, "The answer to the order was lost.", {
                        remedy: "Watch the endpoint.",
                        cause: error,
                    });
                }
            },
            stop: async () => {},
        }),
    };
}
