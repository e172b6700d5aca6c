/** Request to a primary's owner for a position that includes every entry acknowledged before the request. */
export interface PositionRequest {
    readonly database: string;
    readonly term: number;
    readonly timeLeftMilliseconds: number;
}
