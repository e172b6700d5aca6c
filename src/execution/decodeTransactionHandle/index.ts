import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { verifyPayload } from "../../session/verifyPayload/index.js";
import { executionConstants } from "../constants.js";
import type { TransactionHandle } from "../types/TransactionHandle.js";

/**
 * Checks and decodes a transaction handle.
 *
 * @param text The handle as the caller sent it.
 * @param caller Name of the caller that sent it.
 * @param secret The signing secret of the configuration.
 * @returns The content of the handle.
 * @throws TarragonpostError of kind `InvalidToken` when it is forged, altered or was issued to another caller.
 *
 * @example
 * const handle = decodeTransactionHandle(step.transactionHandle, step.caller, secret);
 */
export function decodeTransactionHandle(text: string, caller: string, secret: string): TransactionHandle {
    const handle = verifyPayload(text, secret, executionConstants.purposeOfTransactionHandle) as TransactionHandle;
    if (handle.caller !== caller) {
        throw createError(ErrorKind.InvalidToken, "The transaction was opened by another caller.", {
            remedy: "Open a transaction of this caller's own.",
        });
    }
    return handle;
}
