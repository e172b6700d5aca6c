/**
 * Scopes a request key to its caller, so that no caller can read another's outcomes.
 *
 * @param caller Name of the caller.
 * @param requestKey The key that the caller chose, if any.
 * @returns The key as endpoints record it.
 *
 * @example
 * scopeRequestKey("dealer-7", "fitment-12");
 */
export function scopeRequestKey(caller: string, requestKey: string | undefined): string | undefined {
    return requestKey === undefined ? undefined : `${encodeURIComponent(caller)}/${requestKey}`;
}
