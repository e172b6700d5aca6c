/** The true outcome of an accepted patch. */
export interface PatchAnswer {
    /** The version that the patch became. */
    readonly version: number;
    /** True when an earlier submission of the same patch id had been accepted. */
    readonly isRepeated: boolean;
}
