import type { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";

/** An in-memory platform that counts calls by method and whose failures a test sets. */
export interface CountingPlatform extends PlatformClient {
    setDown(isDown: boolean): void;
    /** The next write takes effect, and its answer is replaced by this failure. */
    loseNextAnswer(kind: ErrorKind): void;
    /** The next write neither takes effect nor is answered. */
    dropNextWrite(kind: ErrorKind): void;
    /** Number of calls so far by the name of the method; a watch counts once. */
    readonly calls: ReadonlyMap<string, number>;
    /** Size of the largest value written, in bytes of JSON. */
    largestValueBytes(): number;
}
