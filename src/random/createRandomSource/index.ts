import type { RandomSource } from "../types/RandomSource.js";

/**
 * Creates a seeded pseudo-random source (mulberry32), not for security.
 *
 * @param seed Any integer; the same seed gives the same numbers.
 * @returns The random source.
 *
 * @example
 * createRandomSource(7).nextInteger(10);
 */
export function createRandomSource(seed: number): RandomSource {
    let state = seed >>> 0;

    function next(): number {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    }

    function nextInteger(bound: number): number {
        return Math.floor(next() * bound);
    }

    function shuffle<T>(items: readonly T[]): T[] {
        const shuffled = [...items];
        for (let index = shuffled.length - 1; index > 0; index -= 1) {
            const other = nextInteger(index + 1);
            [shuffled[index], shuffled[other]] = [shuffled[other] as T, shuffled[index] as T];
        }
        return shuffled;
    }

    return { next, nextInteger, shuffle };
}
