import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";

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
    const match = /^([\w.-]+):(\d{1,5})$/.exec(text);
    const port = Number(match?.[2]);
    if (!match || port < 1 || port > 65_535) {
        throw createError(ErrorKind.InvalidRequest, `${JSON.stringify(text)} is not an address.`, {
            remedy: "Write it as HOST:PORT.",
        });
    }
    return { host: match[1]!, port, availabilityZone };
}
