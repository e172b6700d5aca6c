/** The record of the holder in the model of fencing tokens. */
export interface TokenRecord {
    /** Index of the VM that wrote it; undefined while there is no record. */
    readonly holder?: number;
    readonly number: number;
    /** Revision of the store at which it was written; 0 while there is no record. */
    readonly revision: number;
}
