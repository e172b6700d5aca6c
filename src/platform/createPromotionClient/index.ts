import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import type { PromotionOrders } from "../../promotions/types/PromotionOrders.js";
import { createHttpClient } from "../createHttpClient/index.js";

/** Options of `createPromotionClient`. */
interface PromotionClientOptions {
    /** Time limit of a promotion order. */
    readonly timeoutMilliseconds: number;
}

/**
 * Creates the client that sends promotion orders to the platform.
 *
 * @param address Address at which the platform accepts promotion orders.
 * @param options Time limit of an order, in milliseconds.
 * @returns The client.
 *
 * @example
 * await orders.promote({ group: "orders", endpointId: "i-7", holderName: "vm-1", fencingToken: 4 });
 */
export function createPromotionClient(address: Address, options: PromotionClientOptions): PromotionOrders {
    const client = createHttpClient(address);
    return {
        promote: async ({ group, endpointId, holderName, fencingToken }) => {
            const { status, content } = await client.call({
                method: "POST",
                path: "/promotion",
                headers: { "X-Duty-Holder": holderName, "X-Fencing-Token": String(fencingToken) },
                body: { service: group, id: endpointId },
                timeoutMilliseconds: options.timeoutMilliseconds,
            });
            if (status < 200 || status > 299) {
                throw createError(
                    ErrorKind.Conflict,
                    `The platform refused the promotion: ${JSON.stringify(content)}.`,
                    {
                        remedy:
                            "Choose another endpoint, or leave the promotion to the VM with the newer fencing token.",
                        details: { status },
                    },
                );
            }
        },
        stop: client.stop,
    };
}
