import { isPlainObject } from "../isPlainObject/index.js";

/**
 * Serializes a JSON value with sorted keys, so that equal values have equal texts.
 *
 * @param value Any JSON value.
 * @returns The JSON text.
 *
 * @example
 * canonicalizeValue({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 */
export function canonicalizeValue(value: unknown): string {
    return JSON.stringify(
        value,
        (_key, inner: unknown) =>
            isPlainObject(inner)
                ? Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)))
                : inner,
    );
}
