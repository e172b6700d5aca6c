import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { listProcessServices } from "../../processServices/listProcessServices/index.js";
import type { GatewaySettings } from "../../settings/types/GatewaySettings.js";
import { listControlServices } from "../listControlServices/index.js";
import { listDataServices } from "../listDataServices/index.js";
import { listServerServices } from "../listServerServices/index.js";

/**
 * Lists the services of a gateway.
 *
 * @param settings Settings of the gateway.
 * @returns Their definitions, for a kernel.
 *
 * @example
 * const kernel = createKernel(listGatewayServices(settings));
 */
export function listGatewayServices(settings: GatewaySettings): ServiceDefinition[] {
    return [
        ...listProcessServices(settings),
        ...listControlServices(settings),
        ...listDataServices(),
        ...listServerServices(settings),
    ];
}
