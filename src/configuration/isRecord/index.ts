/**
 * Tells whether a value is a plain object, as opposed to a list, a text, a number or nothing.
 *
 * @param value Any JSON value.
 * @returns True for an object with keys.
 *
 * @example
 * isRecord({ limits: {} }); // true
 */
export function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
