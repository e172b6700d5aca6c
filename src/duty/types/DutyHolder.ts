import type { VmIdentity } from "./VmIdentity.js";

/** The VM that may change primaries, as recorded in the platform's store. */
export interface DutyHolder extends VmIdentity {
    /** Fencing token; grows with each new holder. */
    readonly token: number;
}
