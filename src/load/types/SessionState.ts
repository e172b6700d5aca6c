import type { LoadEntry } from "./LoadEntry.js";

/** State of one session at its caller. */
export interface SessionState {
    readonly name: string;
    readonly caller: { readonly name: string; readonly key: string; };
    readonly database: string;
    readonly homeRegion: string;
    entry: LoadEntry;
    token?: string;
    writeCount: number;
}
