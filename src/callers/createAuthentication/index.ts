import { createHash } from "node:crypto";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { AuthenticatedCaller } from "../types/AuthenticatedCaller.js";

const scheme = "Bearer ";

/**
 * Creates the function that authenticates callers by the key in their authorization header.
 *
 * @param configuration The callers and the digests of their keys.
 * @returns A function from the header to the caller, or to undefined when the key is missing or unknown.
 *
 * @example
 * const caller = createAuthentication(configuration)(request.headers.authorization);
 */
export function createAuthentication(
    configuration: ConfigurationService,
): (header: string | undefined) => AuthenticatedCaller | undefined {
    let callersByDigest = readCallers();
    const callersByHeader = new Map<string, AuthenticatedCaller>();
    configuration.onChange(() => {
        callersByDigest = readCallers();
        callersByHeader.clear();
    });

    function readCallers(): Map<string, AuthenticatedCaller> {
        const callers = Object.entries(configuration.current().content.callers);
        return new Map(
            callers.map(([name, definition]) => [definition.keyDigest.toLowerCase(), { name, ...definition }]),
        );
    }

    return header => {
        if (header === undefined || !header.startsWith(scheme)) {
            return undefined;
        }
        const known = callersByHeader.get(header);
        if (known !== undefined) {
            return known;
        }
        const digest = createHash("sha256").update(header.slice(scheme.length)).digest("hex");
        const caller = callersByDigest.get(digest);
        if (caller !== undefined) {
            callersByHeader.set(header, caller);
        }
        return caller;
    };
}
