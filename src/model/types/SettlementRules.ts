/** Rules of a change of the primary whose end is unknown; a search may leave one out. */
export interface SettlementRules {
    /** Nothing is settled or begun again before each order has taken effect or never will. */
    readonly waitsForOrders: boolean;
    /** A change is not cancelled while an earlier one of the group has an unknown end. */
    readonly cancelsNoUnknownEnd: boolean;
    /** The endpoint settled on has the highest term that any endpoint reports. */
    readonly requiresHighestTerm: boolean;
    /** All other endpoints have answered, and none of them leads with a higher term. */
    readonly requiresAllAnswers: boolean;
    /** The end of a change is announced once the successor reports a higher term than before the order. */
    readonly requiresNewTerm: boolean;
    /** A lease vouches for no commit whose term is below that of the announced end. */
    readonly comparesTermOfCommit: boolean;
    /** A change with an unknown end is always followed by another promotion, whatever the endpoints answer. */
    readonly settlesByPromotion: boolean;
    /** An unchanged term is accepted of an endpoint whose order was answered, once the order would have taken effect. */
    readonly acceptsAnsweredOrder: boolean;
}
