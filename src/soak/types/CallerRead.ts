/** A read as recorded by its caller. */
export interface CallerRead {
    readonly id: string;
    readonly item: string;
    readonly data: string;
}
