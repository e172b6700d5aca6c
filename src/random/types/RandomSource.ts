/** Source of randomness; seeded in tests. */
export interface RandomSource {
    /** A number from 0 (included) to 1 (excluded). */
    next(): number;
    /** A whole number from 0 (included) to `bound` (excluded). */
    nextInteger(bound: number): number;
    /** A new list with the items in random order. */
    shuffle<T>(items: readonly T[]): T[];
}
