/** A change of the emulated network between two places. */
export interface LinkChange {
    readonly from: string;
    readonly to: string;
    readonly delayMilliseconds?: number;
    readonly isCut?: boolean;
    /** Makes connections that are open now silent for good. */
    readonly isSilenced?: boolean;
    /** Leaves the other direction as it is. */
    readonly isOneWay?: boolean;
}
