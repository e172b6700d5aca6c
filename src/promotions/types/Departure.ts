/** Departure of a VM from the failover duty when it stops. */
export interface Departure {
    /** Begins the departure. */
    begin(): void;
    /** Resolves when this VM no longer holds the duty and changes no primary, or the time for that has passed. */
    finish(): Promise<void>;
    stop(): Promise<void>;
}
