/** An object of the platform's store. */
export interface StoredObject {
    readonly key: string;
    /** Changes with each update; the expected version of a conditional update. */
    readonly version: number;
    readonly value: unknown;
}
