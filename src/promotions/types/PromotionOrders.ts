/** Orders the platform to promote endpoints. */
export interface PromotionOrders {
    /**
     * Orders an endpoint to become its group's primary.
     *
     * Fails with `Conflict` when the order is refused, with `PlatformUnavailable` when it was not sent, and with
     * `OutcomeUnknown` when its answer was lost.
     */
    promote(order: PromotionOrder): Promise<void>;
    stop(): Promise<void>;
}

/** An order to promote an endpoint. */
interface PromotionOrder {
    readonly group: string;
    readonly endpointId: string;
    /** Name of the VM that gives the order. */
    readonly holderName: string;
    /** Token of the holder of the failover duty; grows with each new holder. */
    readonly fencingToken: number;
}
