/** State of a gateway, as known to its peers. */
export enum PeerState {
    Live = "Live",
    Suspected = "Suspected",
    Leaving = "Leaving",
    Dead = "Dead",
}
