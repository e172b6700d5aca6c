/** Fields that are checked before a request or transaction waits for a slot. */
export interface EndpointCheck {
    readonly database: string;
    readonly endpoint: string;
    readonly term: number;
}
