import type { VmIdentity } from "./VmIdentity.js";

/** The VM that may change primaries, as recorded in the platform's store. */
export interface DutyHolder extends VmIdentity {
    /** Fencing token; grows with each new holder. */
    readonly token: number;
    /** Whether the previous holder handed the duty over, and no order of it or of an earlier holder can take effect. */
    readonly isHandedOver?: boolean;
}
