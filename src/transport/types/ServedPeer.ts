/** One connection of a peer that this process serves. */
export interface ServedPeer {
    /** Refuses further calls as not run, answers those that it has accepted, and closes the connection. */
    stop(): Promise<void>;
    /** Closes the connection at once; the peer cannot know which of its calls were run. */
    terminate(): void;
    /** Paths of the accepted calls that are not answered yet. */
    describeWork(): readonly string[];
    readonly closed: Promise<void>;
}
