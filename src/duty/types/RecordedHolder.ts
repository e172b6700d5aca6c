import type { VmIdentity } from "./VmIdentity.js";

/** Content of the record of the holder in the platform's store. */
export interface RecordedHolder extends VmIdentity {
    /** An era of the store that had begun before the record was written; left out while the VM knew none. */
    readonly writtenInEra?: number;
    /** Whether the previous holder wrote the record, when no order of it or of an earlier holder could take effect. */
    readonly isHandedOver?: boolean;
}
