const envelopeBytes = 160;

/**
 * Estimates the bytes that a statement or a result takes on a link, its envelope included.
 *
 * @param value The statement or result.
 * @returns The number of bytes.
 *
 * @example
 * budget.adjust(estimateBytes(reply.result));
 */
export function estimateBytes(value: unknown): number {
    return envelopeBytes + (JSON.stringify(value)?.length ?? 0);
}
