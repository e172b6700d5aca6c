/** Asks the owner of a primary for a position that includes everything acknowledged before. */
export interface PositionRequest {
    readonly database: string;
    readonly term: number;
    readonly timeLeftMilliseconds: number;
}
