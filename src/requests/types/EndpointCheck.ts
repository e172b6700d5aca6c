/** What is checked before a request or transaction asks for a slot. */
export interface EndpointCheck {
    readonly database: string;
    readonly endpoint: string;
    readonly term: number;
}
