import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/**
 * Parses a configuration version number from the command line.
 *
 * @param value What was given.
 * @param name Name of the option or argument, for the message.
 * @returns The number.
 * @throws TarragonpostError of kind `InvalidRequest` when it is missing or no whole number.
 *
 * @example
 * const against = parseVersion(options.against, "--against");
 */
export function parseVersion(value: unknown, name: string): number {
    const version = typeof value === "string" && value !== "" ? Number(value) : value;
    if (typeof version !== "number" || !Number.isSafeInteger(version) || version < 0) {
        throw createError(ErrorKind.InvalidRequest, `${name} is not a version number.`, {
            remedy: "Give a whole number from `tarragonpost config history`.",
        });
    }
    return version;
}
