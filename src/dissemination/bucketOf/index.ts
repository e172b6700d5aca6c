import { hashText } from "../../hashing/hashText/index.js";
import { disseminationConstants } from "../constants.js";

/**
 * Tells into which bucket a key falls when digests are compared.
 *
 * @param key Key of a record.
 * @returns The bucket's number, from 0.
 *
 * @example
 * const bucket = bucketOf("stock");
 */
export function bucketOf(key: string): number {
    return hashText(key) % disseminationConstants.buckets;
}
