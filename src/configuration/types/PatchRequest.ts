/** A patch as an operator submits it. */
export interface PatchRequest {
    /** The version that the operator read before writing the patch. */
    readonly against: number;
    /** The patch as text: a JSON merge patch, comments allowed. */
    readonly patchText: string;
    /** The same for each repetition of one submission. */
    readonly patchId: string;
    readonly author: string;
}
