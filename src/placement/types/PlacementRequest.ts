/** What a statement or transaction needs of an endpoint. */
export interface PlacementRequest {
    readonly group: string;
    readonly needsPrimary: boolean;
    /** The one endpoint that is meant, whatever its role and state; any of the group when left out. */
    readonly endpointId?: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Latest time at which it is worth being placed. */
    readonly expiresAt: number;
    /** Endpoints that are of no use, because they were tried. */
    readonly excluded: ReadonlySet<string>;
    /** Values that the connection will need; one that has them is preferred. */
    readonly values: ReadonlyMap<string, string>;
}
