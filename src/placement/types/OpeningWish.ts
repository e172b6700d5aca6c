/** A connection that an owner needs. */
export interface OpeningWish {
    readonly owner: string;
    /** Priority of the statement that needs it. */
    readonly priority: number;
}
