/** Constants of the directory. */
export const directoryConstants = {
    /** How long one watch of the store waits; short, so that a connection gone silent is noticed. */
    watchMilliseconds: 4_000,
    /** The same, where few VMs watch for all: the others have to notice soon that these hear nothing. */
    sharedWatchMilliseconds: 2_000,
    /** A VM that relies on others' watches watches itself when none was answered for this long. */
    newsMilliseconds: 2_800,
    /** An age that is greater is told as this. */
    greatestNewsMilliseconds: 3_600_000,
    /** How often it looks whether it has to. */
    watchCheckMilliseconds: 200,
    /** Removed records that are remembered, to be told to other VMs. */
    rememberedRemovals: 64,
    /** How long a watch waits after a failed call, so that a store that came back is noticed at once. */
    cautiousWatchMilliseconds: 200,
    /** Pauses between failed calls to the store. */
    firstRetryMilliseconds: 200,
    greatestRetryMilliseconds: 1_000,
    /** Time limit of a call to the store. */
    callTimeoutMilliseconds: 1_200,
    /** An endpoint whose record vanished takes new work for this long: the store drops records while in trouble. */
    vanishedMilliseconds: 2_500,
    /** After that it is treated as leaving for this long, so that a primary can be replaced in order. */
    departureMilliseconds: 3_500,
} as const;
