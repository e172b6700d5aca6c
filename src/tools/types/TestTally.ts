/** Results of one test runner. */
export interface TestTally {
    readonly runner: string;
    readonly passed: number;
    /** Full names of the tests that failed. */
    readonly failures: readonly string[];
}
