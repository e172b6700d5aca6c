import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { memoryConstants } from "../constants.js";
import type { MemoryLimits } from "../types/MemoryLimits.js";
import type { StateAccount } from "../types/StateAccount.js";
import type { StateBudget } from "../types/StateBudget.js";
import { StateRefusal } from "../types/StateRefusal.js";

/** Options of `createStateBudget`. */
interface StateBudgetOptions {
    readonly limits: Pick<MemoryLimits, "stateBytes" | "sessionBytes">;
    readonly clock: Pick<Clock, "now">;
    readonly metrics: Pick<Metrics, "countStateRefusal">;
    readonly log: LogTopic;
}

/**
 * Creates the budget of the bytes that sessions keep from statement to statement: values and prepared statements.
 *
 * What would exceed the limit of its session, or of the process, is refused; nothing that is kept is dropped.
 *
 * @param options Limits in bytes, clock, metrics and log.
 * @returns The budget, without sessions.
 *
 * @example
 * const budget = createStateBudget({ limits: { stateBytes: 26_214_400, sessionBytes: 2_097_152 }, clock, metrics, log });
 */
export function createStateBudget(options: StateBudgetOptions): StateBudget {
    const { limits: { stateBytes, sessionBytes }, clock, metrics, log } = options;
    let keptBytes = 0;
    let refusedSinceLog = 0;
    let loggedAt = -Infinity;

    function openState(): StateAccount {
        const sizes = new Map<string, number>();
        let sessionTotal = 0;
        let isClosed = false;

        function keep(name: string, bytes: number): StateRefusal | undefined {
            const formerCost = sizes.get(name) ?? 0;
            const cost = bytes === 0 ? 0 : bytes + memoryConstants.keptOverheadBytes;
            const growth = cost - formerCost;
            const refusal = isClosed ? undefined : findRefusal(growth);
            if (refusal !== undefined) {
                recordRefusal(refusal);
                return refusal;
            }
            if (isClosed) {
                return undefined;
            }
            if (cost === 0) {
                sizes.delete(name);
            }
            else {
                sizes.set(name, cost);
            }
            sessionTotal += growth;
            keptBytes += growth;
            return undefined;
        }

        function findRefusal(growth: number): StateRefusal | undefined {
            if (growth > 0 && sessionTotal + growth > sessionBytes) {
                return StateRefusal.SessionFull;
            }
            return growth > 0 && keptBytes + growth > stateBytes ? StateRefusal.ProcessFull : undefined;
        }

        function close(): void {
            isClosed = true;
            keptBytes -= sessionTotal;
            sessionTotal = 0;
            sizes.clear();
        }

        return { keep, close };
    }

    function recordRefusal(refusal: StateRefusal): void {
        metrics.countStateRefusal(refusal);
        refusedSinceLog += 1;
        if (clock.now() - loggedAt < memoryConstants.logIntervalMilliseconds) {
            return;
        }
        log("statements refused: sessions keep too many bytes", {
            refused: refusedSinceLog,
            reason: refusal,
            keptBytes,
            stateBytes,
        });
        refusedSinceLog = 0;
        loggedAt = clock.now();
    }

    return { openState, keptBytes: () => keptBytes };
}
