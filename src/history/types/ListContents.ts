/** The values of one list, in order. */
export interface ListContents {
    readonly list: string;
    readonly values: readonly string[];
}
