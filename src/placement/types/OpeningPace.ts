/** The decision whether a VM leaves the places of an endpoint to other VMs, and when it tries again after a refusal. */
export interface OpeningPace {
    /** Whether this VM holds few connections and keeps no unused one, because other VMs need the places too. */
    isSparing(): boolean;
    recordOpened(): void;
    /** Records that the endpoint refused a connection because of its limit; returns the pause in milliseconds. */
    recordRefusal(): number;
    /** Whether the endpoint has refused so many attempts in a row that statements should not wait for a connection. */
    isLimitLasting(): boolean;
}
