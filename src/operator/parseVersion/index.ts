import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/**
 * Parses a configuration version number from the command line.
 *
 * @param value The value from the command line.
 * @param name Name of the option or argument, for the error message.
 * @returns The number.
 * @throws TarragonpostError of kind `InvalidRequest` when the value is missing or not a non-negative whole number.
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
