/** What one prober found out about an endpoint. */
export enum ProbeVerdict {
    /** It answered, or refused the connection for lack of room. */
    Alive = "Alive",
    /** An open connection was lost or went silent; a fresh one is being tried. */
    Lost = "Lost",
    /** A fresh connection was refused. */
    Refused = "Refused",
    /** A fresh connection was not answered in time. */
    Silent = "Silent",
    /** The prober itself could not be asked, or has not probed yet. */
    Unknown = "Unknown",
}
