/**
 * Computes the max-min fair share of a capacity: callers that ask for less get all they ask for, and the others share the
 * rest equally.
 *
 * @param demands What each caller asks for, in the unit of the capacity.
 * @param capacity The capacity that they share.
 * @returns The most that one caller gets; infinite when the capacity suffices for all.
 *
 * @example
 * computeFairLevel([1, 1, 8], 4); // => 2
 */
export function computeFairLevel(demands: readonly number[], capacity: number): number {
    const ascending = [...demands].sort((left, right) => left - right);
    let remaining = capacity;
    for (const [index, demand] of ascending.entries()) {
        const level = remaining / (ascending.length - index);
        if (demand > level) {
            return level;
        }
        remaining -= demand;
    }
    return Infinity;
}
