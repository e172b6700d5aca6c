/** A statement's place in a queue. */
export interface QueuePlace {
    readonly priority: number;
    /** Number of statements that are served before it: of all classes, and of its own. */
    readonly ahead: number;
    readonly aheadInClass: number;
    /** Number of connections that serve the queue. */
    readonly connections: number;
    /** Time within which it should end, in milliseconds; negative when it is late already. */
    readonly targetMilliseconds: number;
}
