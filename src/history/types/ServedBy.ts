/** Which endpoint served an answer, as the caller is told. */
export interface ServedBy {
    readonly endpoint: string;
    readonly role: string;
    readonly term: number;
    readonly position: number;
}
