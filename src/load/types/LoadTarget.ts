import type { LoadEntry } from "./LoadEntry.js";

/** The installation to which load is offered. */
export interface LoadTarget {
    readonly entries: readonly LoadEntry[];
    readonly callers: readonly { readonly name: string; readonly key: string; }[];
    readonly databases: readonly string[];
}
