/** An endpoint that a read may be sent to. */
export interface ReadCandidate {
    readonly endpoint: string;
    readonly isPrimary: boolean;
    /** How long the endpoint may wait for the least position. */
    readonly waitMilliseconds: number;
}
