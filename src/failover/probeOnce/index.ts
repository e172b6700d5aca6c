import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import { classifyProbeFailure } from "../classifyProbeFailure/index.js";
import { failoverConstants } from "../constants.js";
import type { ProbeAnswer } from "../types/ProbeAnswer.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/**
 * Probes an endpoint once, over a fresh connection.
 *
 * @param driver The endpoint driver.
 * @param endpoint The endpoint.
 * @returns The verdict, and the status if the endpoint answered.
 *
 * @example
 * const { verdict } = await probeOnce(driver, endpoint);
 */
export async function probeOnce(driver: EndpointDriver, endpoint: EndpointDefinition): Promise<ProbeAnswer> {
    const deadline = performance.now() + failoverConstants.freshProbeTimeoutMilliseconds;
    try {
        const connection = await driver.connect(
            endpoint.name,
            endpoint,
            failoverConstants.connectTimeoutMilliseconds,
        );
        try {
            const status = await connection.readStatus(Math.max(1, deadline - performance.now()));
            return { verdict: ProbeVerdict.Alive, status };
        }
        finally {
            connection.close();
        }
    }
    catch (error) {
        return { verdict: classifyProbeFailure(error) };
    }
}
