/** The known current term of a database's group. A higher term replaces a lower one. */
export interface GroupRecord {
    readonly database: string;
    readonly term: number;
    readonly primary: string;
    /** Position of the term's confirmed marker entry; a replica must hold it before it serves. */
    readonly markerPosition: number;
}
