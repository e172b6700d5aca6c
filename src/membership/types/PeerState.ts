/** State of a gateway as its peers see it. */
export enum PeerState {
    Live = "Live",
    Suspected = "Suspected",
    Leaving = "Leaving",
    Dead = "Dead",
}
