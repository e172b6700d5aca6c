import { randomInt } from "node:crypto";
import { siteConstants } from "../constants.js";

/**
 * Lists the ports that sites may use, from a random one onwards.
 *
 * The ports are below those that operating systems choose for outgoing connections and for listeners on any port.
 *
 * @returns Yields each port once.
 *
 * @example
 * const [port] = listCandidatePorts();
 */
export function* listCandidatePorts(): Generator<number> {
    const { firstPort, lastPort } = siteConstants;
    const count = lastPort - firstPort + 1;
    const start = randomInt(count);
    for (let offset = 0; offset < count; offset += 1) {
        yield firstPort + (start + offset) % count;
    }
}
