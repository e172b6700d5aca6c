import type { StateRefusal } from "./StateRefusal.js";

/** The bytes that one session keeps from statement to statement. */
export interface StateAccount {
    /**
     * Replaces what is kept under a name.
     *
     * @param name Unique name of what is kept.
     * @param bytes Its new size; 0 when it is no longer kept.
     * @returns Why it may not be kept, in which case the former size stays; undefined when it may.
     */
    keep(name: string, bytes: number): StateRefusal | undefined;
    /** The session has ended. */
    close(): void;
}
