/** Phases of a graceful stop, in order; each accepts less work than the one before. */
export enum StopPhase {
    /** No stop has begun. */
    Serving,
    /** Everything is served, because new connections still arrive. */
    Leaving,
    /** Sessions are closed when they are idle; new sessions are served. */
    Draining,
    /** New sessions, statements and transactions are refused; open transactions go on. */
    Refusing,
    /** Open transactions are rolled back. */
    Aborting,
    /** Endpoints' answers are no longer waited for. */
    Ending,
}
