import type { LoadEntry } from "./LoadEntry.js";

/** The installation that load is offered to. */
export interface LoadTarget {
    readonly entries: readonly LoadEntry[];
    readonly callers: readonly { readonly name: string; readonly key: string; }[];
    readonly databases: readonly string[];
}
