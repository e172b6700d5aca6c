/** Source of randomness; seeded in tests. */
export interface RandomSource {
    /** Returns a number from 0 (included) to 1 (excluded). */
    next(): number;
    /** Returns an integer from 0 (included) to `bound` (excluded). */
    nextInteger(bound: number): number;
    /** Returns a new list with the items in random order. */
    shuffle<T>(items: readonly T[]): T[];
}
