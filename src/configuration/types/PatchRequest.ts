/** A patch submitted by an operator. */
export interface PatchRequest {
    /** The version that the operator read before writing the patch. */
    readonly against: number;
    /** Text of the patch: a JSON merge patch, with comments allowed. */
    readonly patchText: string;
    /** Identifies the submission; a retry repeats the id. */
    readonly patchId: string;
    readonly author: string;
}
