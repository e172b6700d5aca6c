/** An endpoint of the model of the settlement. */
export interface SettlementEndpoint {
    readonly isPrimary: boolean;
    readonly term: number;
    /** Whether an order to promote it may still take effect. */
    readonly isOrdered: boolean;
    /** Whether the holder knows the endpoint's record. */
    readonly isListed: boolean;
}
