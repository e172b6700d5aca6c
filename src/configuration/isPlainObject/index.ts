/**
 * Checks whether a JSON value is an object, as opposed to a list, a string, a number, a Boolean or null.
 *
 * @param value Any JSON value.
 * @returns True for an object.
 *
 * @example
 * isPlainObject({ limits: {} }); // true
 */
export function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
