import { Agent, request } from "undici";
import { HealthState } from "../../callers/types/HealthState.js";
import type { Clock } from "../../clock/types/Clock.js";
import { loadConstants } from "../constants.js";
import type { Balancer } from "../types/Balancer.js";
import type { LoadEntry } from "../types/LoadEntry.js";

/**
 * Creates the balancer's view of the entries: one task for each asks its health again and again.
 *
 * An entry that does not answer stays listed, as a balancer learns of a crash only by the failures of requests.
 *
 * @param entries The entries.
 * @param clock Source of time.
 * @returns The balancer, already asking.
 *
 * @example
 * const balancer = createBalancer(target.entries, clock);
 */
export function createBalancer(entries: readonly LoadEntry[], clock: Clock): Balancer {
    const stopping = new AbortController();
    const agent = new Agent({ keepAliveTimeout: loadConstants.healthIntervalMilliseconds });
    const stopped = new Set<string>();
    const tasks = entries.map(watch);

    async function watch(entry: LoadEntry): Promise<void> {
        while (!stopping.signal.aborted) {
            try {
                const answer = await request(`http://${entry.host}:${entry.port}/v1/health`, { dispatcher: agent });
                const { state } = await answer.body.json() as { readonly state: HealthState; };
                if (state === HealthState.Serving) {
                    stopped.delete(entry.name);
                }
                else {
                    stopped.add(entry.name);
                }
            }
            catch {
                // Kept as it was.
            }
            await clock.sleep(loadConstants.healthIntervalMilliseconds, stopping.signal);
        }
    }

    async function stop(): Promise<void> {
        stopping.abort();
        await Promise.all(tasks);
        await agent.close();
    }

    return { isServing: entry => !stopped.has(entry.name), stop };
}
