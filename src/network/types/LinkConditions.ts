/** The emulated state of the link between two availability zones, in one direction. */
export interface LinkConditions {
    readonly delayMilliseconds: number;
    /** New connections fail and open ones are closed. */
    readonly isCut: boolean;
    /** Open connections pass nothing any more, without being closed; new ones work. */
    readonly silentSince?: number;
}
