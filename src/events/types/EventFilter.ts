/** Selects events of the time line; what is left out selects nothing. */
export interface EventFilter {
    readonly requestId?: string;
    readonly database?: string;
    readonly version?: number;
}
