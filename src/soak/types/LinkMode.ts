/** How a link of the soak treats bytes. */
export enum LinkMode {
    Passing = "Passing",
    /** Holds all bytes back. */
    Cut = "Cut",
    /** Holds back what comes from the server. */
    CutFromServer = "CutFromServer",
}
