/** Orders the platform to promote endpoints. */
export interface PromotionOrders {
    /**
     * Orders an endpoint to become its group's primary.
     *
     * Fails with `Conflict` when the order is refused, with `PlatformUnavailable` when it was not given, and with
     * `OutcomeUnknown` when its answer was lost.
     */
    promote(order: PromotionOrder): Promise<void>;
    stop(): Promise<void>;
}

/** An order to promote an endpoint. */
interface PromotionOrder {
    readonly group: string;
    readonly endpointId: string;
    /** The VM that gives the order. */
    readonly holderName: string;
    /** Grows whenever another VM begins to give orders. */
    readonly fencingToken: number;
}
