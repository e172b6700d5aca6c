import { Agent, request } from "undici";
import { HealthState } from "../../callers/types/HealthState.js";
import type { Clock } from "../../clock/types/Clock.js";
import { loadConstants } from "../constants.js";
import type { Balancer } from "../types/Balancer.js";
import type { LoadEntry } from "../types/LoadEntry.js";

/**
 * Creates a load balancer's view of the entries: one task for each entry polls its health.
 *
 * An entry that does not answer keeps its last state, as a load balancer detects a crash only by failed requests.
 *
 * @param entries The entries.
 * @param clock Source of time.
 * @returns The balancer, already polling.
 *
 * @example
 * const balancer = createBalancer(target.entries, clock);
 */
export function createBalancer(entries: readonly LoadEntry[], clock: Clock): Balancer {
    const closeController = new AbortController();
    const agent = new Agent({ keepAliveTimeout: loadConstants.healthIntervalMilliseconds });
    const notServing = new Set<string>();
    const tasks = entries.map(runPollingLoop);

    async function runPollingLoop(entry: LoadEntry): Promise<void> {
        while (!closeController.signal.aborted) {
            try {
                const answer = await request(`http://${entry.host}:${entry.port}/v1/health`, { dispatcher: agent });
                const { state } = await answer.body.json() as { readonly state: HealthState; };
                if (state === HealthState.Serving) {
                    notServing.delete(entry.name);
                }
                else {
                    notServing.add(entry.name);
                }
            }
            catch {
                // The entry keeps its last state.
            }
            await clock.sleep(loadConstants.healthIntervalMilliseconds, closeController.signal);
        }
    }

    async function stop(): Promise<void> {
        closeController.abort();
        await Promise.all(tasks);
        await agent.close();
    }

    return { isServing: entry => !notServing.has(entry.name), stop };
}
