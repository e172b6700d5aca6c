import type { VmIdentity } from "./VmIdentity.js";

/** The VM that may change primaries, as the platform's store names it. */
export interface DutyHolder extends VmIdentity {
    /** Grows with each new holder. */
    readonly token: number;
}
