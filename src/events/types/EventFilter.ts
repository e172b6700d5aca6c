/** Selects events of the time line; a field that is left out does not restrict the selection. */
export interface EventFilter {
    readonly requestId?: string;
    readonly database?: string;
    readonly version?: number;
}
