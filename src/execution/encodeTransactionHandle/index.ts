import { signPayload } from "../../session/signPayload/index.js";
import { executionConstants } from "../constants.js";
import type { TransactionHandle } from "../types/TransactionHandle.js";

/**
 * Encodes and signs a transaction handle.
 *
 * @param handle The content of the handle.
 * @param secret The signing secret of the configuration.
 * @returns The encoded handle.
 *
 * @example
 * const transactionHandle = encodeTransactionHandle(handle, configuration.content.tokenSecret);
 */
export function encodeTransactionHandle(handle: TransactionHandle, secret: string): string {
    return signPayload(handle, secret, executionConstants.purposeOfTransactionHandle);
}
