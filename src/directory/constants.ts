/** Constants of the directory. */
export const directoryConstants = {
    /** How long one watch of the store waits; short, so that a connection gone silent is noticed. */
    watchMilliseconds: 4_000,
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
