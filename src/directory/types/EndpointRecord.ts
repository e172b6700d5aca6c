import type { Address } from "../../network/types/Address.js";

/** An endpoint as it registered itself. */
export interface EndpointRecord {
    readonly id: string;
    /** The group of endpoints that hold copies of the same log. */
    readonly group: string;
    readonly address: Address;
    /** Statements that it runs at once. */
    readonly slots: number;
    /** It is about to stop and takes no new work. */
    readonly isLeaving: boolean;
    /** Whether it holds itself for the primary of its group. */
    readonly isPrimary: boolean;
    /** How much longer it stays slow after its start, in milliseconds. */
    readonly warmingMilliseconds: number;
    /** Unix milliseconds of its start; tells two lives under one id apart. */
    readonly startedAt: number;
    /** Revision of the platform's store at which the record changed last. */
    readonly revision: number;
}
