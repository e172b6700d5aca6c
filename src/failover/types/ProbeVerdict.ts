/** Result of probing an endpoint from one prober. */
export enum ProbeVerdict {
    /** The endpoint answered, or refused the connection because its connection limit is reached. */
    Alive = "Alive",
    /** An open connection was lost or became unresponsive; a fresh one is being tried. */
    Lost = "Lost",
    /** A fresh connection was refused. */
    Refused = "Refused",
    /** A fresh connection was not answered in time. */
    Silent = "Silent",
    /** The prober itself did not answer, or has not probed yet. */
    Unknown = "Unknown",
}
