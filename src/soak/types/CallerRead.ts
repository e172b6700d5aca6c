/** A read as its caller saw it. */
export interface CallerRead {
    readonly id: string;
    readonly item: string;
    readonly data: string;
}
