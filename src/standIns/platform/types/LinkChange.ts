/** A change of the emulated link between two availability zones. */
export interface LinkChange {
    readonly from: string;
    readonly to: string;
    readonly delayMilliseconds?: number;
    readonly isCut?: boolean;
    /** Makes the currently open connections permanently unresponsive. */
    readonly isSilenced?: boolean;
    /** Changes only the direction from `from` to `to`. */
    readonly isOneWay?: boolean;
}
