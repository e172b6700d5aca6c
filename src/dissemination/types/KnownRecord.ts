/** Key and stamp of a record held by the gateway that sends a pull request. */
export interface KnownRecord {
    readonly key: string;
    readonly stamp: number;
}
