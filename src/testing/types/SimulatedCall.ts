/** A call from one participant of a simulation to another. */
export interface SimulatedCall {
    /** Name of the calling VM. */
    readonly from: string;
    /** Name of the called VM, id of the called endpoint, or name of the called service of the platform. */
    readonly to: string;
    /** Name of the called procedure. */
    readonly procedure: string;
    readonly input?: unknown;
    readonly timeoutMilliseconds: number;
}
