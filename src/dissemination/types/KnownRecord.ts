/** Key and stamp of a record that one side holds. */
export interface KnownRecord {
    readonly key: string;
    readonly stamp: number;
}
