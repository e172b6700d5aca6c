/** The endpoint that served an answer, as reported to the caller. */
export interface ServedBy {
    readonly endpoint: string;
    readonly role: string;
    readonly term: number;
    readonly position: number;
}
