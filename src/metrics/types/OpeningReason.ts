/** Why a connection to an endpoint could be opened. */
export enum OpeningReason {
    /** The VM held fewer connections than it may. */
    Room = "Room",
    /** An idle connection of another owner was closed. */
    Replacement = "Replacement",
}
