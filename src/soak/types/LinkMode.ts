/** Which bytes a link of the soak test forwards. */
export enum LinkMode {
    /** Forwards all bytes. */
    Passing = "Passing",
    /** Holds back all bytes. */
    Cut = "Cut",
    /** Holds back bytes from the server. */
    CutFromServer = "CutFromServer",
}
