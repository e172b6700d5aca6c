/** The emulated state of the link between two availability zones, in one direction. */
export interface LinkConditions {
    readonly delayMilliseconds: number;
    /** New connections fail and open ones are closed. */
    readonly isCut: boolean;
    /** Wall time in milliseconds; connections opened up to then stay open but transmit nothing, newer ones work. */
    readonly silentSince?: number;
}
