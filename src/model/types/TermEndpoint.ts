/** An endpoint of the model of terms. */
export interface TermEndpoint {
    readonly isPrimary: boolean;
    /** Term that the endpoint reports. */
    readonly term: number;
    readonly holdsWrite: boolean;
}
