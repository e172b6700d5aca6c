/** What the membership costs one gateway of a fleet, measured in one process over the loopback. */
export interface MembershipFigures {
    readonly gateways: number;
    readonly zones: number;
    readonly seconds: number;
    /** From the start of the last gateway until all know all. */
    readonly convergenceMilliseconds: number;
    /** Of frames, sent and received, without the headers of TCP and WebSocket. */
    readonly bytesPerSecond: number;
    readonly framesPerSecond: number;
    /** Processor time as a share of one core. */
    readonly coreShare: number;
    readonly listReadsPerSecond: number;
    /** From the crash of one gateway until no other one lists it. */
    readonly detectionMilliseconds: number;
}
