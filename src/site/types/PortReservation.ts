/** Ports that no other site on the machine takes before they are released. */
export interface PortReservation {
    readonly ports: readonly number[];
    /** Ends the reservation; the processes that listen on the ports should have exited. */
    release(): Promise<void>;
}
