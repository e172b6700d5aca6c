import type { CallCount } from "../types/CallCount.js";
import type { CallKind } from "../types/CallKind.js";

/** Counts the calls to the platform by kind and caller. */
interface CallCounts {
    add(kind: CallKind, caller: string): void;
    list(): readonly CallCount[];
    reset(): void;
}

/**
 * Creates call counts, all at zero.
 *
 * @returns The counts.
 *
 * @example
 * counts.add(CallKind.Read, "vm-1-gateway");
 */
export function createCallCounts(): CallCounts {
    const counts = new Map<string, CallCount>();

    function add(kind: CallKind, caller: string): void {
        const key = `${kind}/${caller}`;
        counts.set(key, { kind, caller, count: (counts.get(key)?.count ?? 0) + 1 });
    }

    return { add, list: () => [...counts.values()], reset: () => counts.clear() };
}
