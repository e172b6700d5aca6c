import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

const eraHeader = "store-era";
const wholeNumberPattern = /^\d+$/;

/**
 * Decodes the era of the store in the header of one of its answers.
 *
 * @param headers Header fields by lower-case name.
 * @returns The era; 0 for a store that does not send it.
 * @throws TarragonpostError of kind `PlatformUnavailable` when the field is not a whole number.
 *
 * @example
 * const era = decodeStoreEra(answer.headers);
 */
export function decodeStoreEra(headers: Readonly<Record<string, string | string[] | undefined>>): number {
    const text = headers[eraHeader];
    if (text === undefined) {
        return 0;
    }
    if (typeof text !== "string" || !wholeNumberPattern.test(text) || !Number.isSafeInteger(Number(text))) {
        throw createError(ErrorKind.PlatformUnavailable, `The store sent an unreadable era: ${JSON.stringify(text)}.`, {
            remedy: "Retry later.",
        });
    }
    return Number(text);
}
