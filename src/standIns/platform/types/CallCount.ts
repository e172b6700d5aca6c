import type { CallKind } from "./CallKind.js";

/** Calls of one kind by one caller. */
export interface CallCount {
    readonly kind: CallKind;
    readonly caller: string;
    readonly count: number;
}
