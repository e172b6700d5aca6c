/** Rules of a new holder of the failover duty; a search may leave one out. */
export interface SuccessionRules {
    /** A new holder acts and vouches once each order of the previous one has taken effect or never will. */
    readonly waitsForFormerOrders: boolean;
    /** A new holder vouches for nothing before it knows from the endpoints of the group who leads. */
    readonly queriesBeforeVouching: boolean;
    /** A group is brought into a new term unless all of its endpoints answer, and one leads with the highest term. */
    readonly changesIndefinite: boolean;
    /** A new holder orders nothing before the leases of the previous one have ended. */
    readonly countsFormerLeases: boolean;
    /** A holder hands over, so that its successor need not wait for orders, only while none of its changes is under way. */
    readonly handsOverBetweenChanges: boolean;
    /** A holder gives no order and grants no lease after it has handed over. */
    readonly endsBeforeHandOver: boolean;
}
