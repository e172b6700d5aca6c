/** A statement's place in a queue. */
export interface QueuePlace {
    readonly priority: number;
    /** Number of statements that are served before it: of all classes, and of its own. */
    readonly ahead: number;
    readonly aheadInClass: number;
    /** Number of connections that serve the queue. */
    readonly connections: number;
    /** Wait after which it would end too late, in milliseconds; negative when it is late already. */
    readonly waitMilliseconds: number;
}
