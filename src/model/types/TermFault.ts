/** What a search of the model of terms looks for. */
export enum TermFault {
    /** A write is acknowledged that a superseded primary committed. */
    Superseded = "Superseded",
    /** The successor lacks an acknowledged write although the old primary answered the order to step down. */
    Lost = "Lost",
}
