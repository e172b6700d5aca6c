/** The definite outcome of an accepted patch. */
export interface PatchAnswer {
    /** The version created by the patch. */
    readonly version: number;
    /** Whether an earlier submission with the same patch id had been accepted. */
    readonly isRepeated: boolean;
}
