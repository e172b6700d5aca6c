import type { StoreVersion } from "./StoreVersion.js";

/** Removal of an endpoint's record from the store, with the version of the store at which the record was missing. */
export interface RecordRemoval extends StoreVersion {
    /** The endpoint's id. */
    readonly id: string;
}
