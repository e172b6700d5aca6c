import { hashText } from "../../hashing/hashText/index.js";
import { disseminationConstants } from "../constants.js";

/**
 * Returns the bucket of a key for the comparison of digests.
 *
 * @param key Key of a record.
 * @returns The number of the bucket, from 0.
 *
 * @example
 * const bucket = bucketOf("stock");
 */
export function bucketOf(key: string): number {
    return hashText(key) % disseminationConstants.bucketCount;
}
