/** Cost of the membership for one gateway of a fleet, measured in one process over loopback. */
export interface MembershipFigures {
    readonly gateways: number;
    readonly zones: number;
    readonly seconds: number;
    /** Time from the start of the last gateway until every gateway lists all gateways. */
    readonly convergenceMilliseconds: number;
    /** Bytes of frames sent and received, without the headers of TCP and WebSocket. */
    readonly bytesPerSecond: number;
    readonly framesPerSecond: number;
    /** Processor time as a share of one core. */
    readonly coreShare: number;
    readonly listReadsPerSecond: number;
    /** Time from the crash of one gateway until no other gateway lists it. */
    readonly detectionMilliseconds: number;
}
