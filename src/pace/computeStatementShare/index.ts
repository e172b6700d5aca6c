/**
 * Computes the share of an endpoint's slots that falls to one VM.
 *
 * @param slots Statements that the endpoint runs concurrently.
 * @param vmCount VMs that send it statements.
 * @returns The share, in statements; below 1 if there are more VMs than slots.
 *
 * @example
 * computeStatementShare(6, 12); // => 0.5
 */
export function computeStatementShare(slots: number, vmCount: number): number {
    return Math.max(slots, 1) / Math.max(vmCount, 1);
}
