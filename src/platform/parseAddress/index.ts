import { isIPv4 } from "node:net";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";

const largestPort = 65_535;
/** Longest part of an unreadable text that an error repeats. */
const maximumShownCharacters = 60;

/**
 * Parses an address, written as `HOST:PORT`.
 *
 * @param text The address.
 * @param availabilityZone Availability zone of the host.
 * @returns The address.
 * @throws TarragonpostError of kind `InvalidRequest` when the text is not an address.
 *
 * @example
 * parseAddress("10.1.0.8:8784", "a"); // => { host: "10.1.0.8", port: 8784, availabilityZone: "a" }
 */
export function parseAddress(text: string, availabilityZone: string): Address {
    const [, host = "", portText] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
    const port = Number(portText);
    if (!isIPv4(host) || port < 1 || port > largestPort) {
        const shown = JSON.stringify(text.slice(0, maximumShownCharacters));
        throw createError(ErrorKind.InvalidRequest, `${shown} is not an address.`, {
            remedy: "Write it as HOST:PORT, with the host's IPv4 address.",
        });
    }
    return { host, port, availabilityZone };
}
