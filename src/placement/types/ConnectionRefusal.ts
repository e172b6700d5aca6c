/** The endpoint's last refusal of a connection because it held too many. */
export interface ConnectionRefusal {
    /** On this VM's clock in milliseconds. */
    readonly at: number;
    /** Connections that this VM held then. */
    readonly connectionCount: number;
}
