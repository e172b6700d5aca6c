import type { Clock } from "../../clock/types/Clock.js";
import { paceConstants } from "../constants.js";
import type { FailureMemory } from "../types/FailureMemory.js";

/**
 * Creates a short memory of statements and failures, whose weight halves with time.
 *
 * @param clock Source of time.
 * @param halfLifeMilliseconds Time in which a weight halves, in milliseconds.
 * @returns The memory, empty.
 *
 * @example
 * memory.record(true);
 * memory.rate(); // => 1
 */
export function createFailureMemory(
    clock: Clock,
    halfLifeMilliseconds: number,
): FailureMemory {
    let failures = 0;
    let statements = 0;
    let weighedAt = clock.now();

    function weigh(): void {
        const now = clock.now();
        const weight = 0.5 ** ((now - weighedAt) / halfLifeMilliseconds);
        failures *= weight;
        statements *= weight;
        weighedAt = now;
    }

    return {
        record: (isFailure, weight = 1) => {
            weigh();
            statements += weight;
            failures += isFailure ? weight : 0;
        },
        failures: () => {
            weigh();
            return failures;
        },
        statements: () => {
            weigh();
            return statements;
        },
        cautiousRate: () => {
            weigh();
            return failures / (statements + paceConstants.assumedGoodStatements);
        },
        rate: () => statements === 0 ? 0 : failures / statements,
        clear: () => {
            failures = 0;
            statements = 0;
        },
    };
}
