/** Checks the primaries while this VM holds the failover duty, and replaces those that failed or leave. */
export interface PromotionCoordinator {
    /** Begins no further change, because this VM stops; the primaries are still confirmed. */
    leave(): void;
    /** Whether a change of a primary is under way. */
    isChanging(): boolean;
    /** Whether an order of this holder may take effect later: the end of a change is unknown. */
    hasUnknownEnds(): boolean;
    start(): Promise<void>;
    stop(): Promise<void>;
}
