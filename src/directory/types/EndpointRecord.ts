import type { Address } from "../../network/types/Address.js";
import type { StoreVersion } from "./StoreVersion.js";

/** An endpoint's registration in the platform's store, with the version of the store at which it changed last. */
export interface EndpointRecord extends StoreVersion {
    readonly id: string;
    /** The group of endpoints that hold copies of the same log. */
    readonly group: string;
    readonly address: Address;
    /** Number of statements that the endpoint runs concurrently. */
    readonly slots: number;
    /** Whether the endpoint is about to stop and accepts no new work. */
    readonly isLeaving: boolean;
    /** Whether the endpoint registered as the primary of its group. */
    readonly isPrimary: boolean;
    /** Remaining time for which the endpoint is slow after its start, in milliseconds. */
    readonly warmingMilliseconds: number;
    /** Unix milliseconds of its start; distinguishes successive processes with the same id. */
    readonly startedAt: number;
    /** Number of the report in which the endpoint registered this; counted anew after its start. */
    readonly reportNumber: number;
}
