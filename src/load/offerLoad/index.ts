import { randomUUID } from "node:crypto";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { checkHistory } from "../../history/checkHistory/index.js";
import { createHistory } from "../../history/createHistory/index.js";
import type { FinalState } from "../../history/types/FinalState.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createBalancer } from "../createBalancer/index.js";
import { createCallerClient } from "../createCallerClient/index.js";
import { readProxyState } from "../readProxyState/index.js";
import { runLoad } from "../runLoad/index.js";
import { summarizeLoad } from "../summarizeLoad/index.js";
import type { CauseFaults } from "../types/CauseFaults.js";
import type { LoadOutcome } from "../types/LoadOutcome.js";
import type { LoadPlan } from "../types/LoadPlan.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { LoadTarget } from "../types/LoadTarget.js";

const runNameCharacters = 8;

/** Options of `offerLoad`. */
interface OfferLoadOptions {
    readonly causeFaults?: CauseFaults;
    /** Reads the lists of a database from its endpoints, the primary first. */
    readonly readEndpointStates?: (database: string) => Promise<readonly FinalState[]>;
    readonly signal?: AbortSignal;
}

/**
 * Offers load, reads the final state from the endpoints and through the proxy, and checks the history.
 *
 * @param target The installation.
 * @param plan The load plan.
 * @param options Fault injection, a reader of the endpoints' state, and a signal that ends the load early.
 * @returns The run, its figures and the verdict on its history.
 * @throws TarragonpostError of kind `DeadlineExceeded` when the final state could not be read.
 *
 * @example
 * const { summary, verdict } = await offerLoad(target, defaultPlan);
 */
export async function offerLoad(
    target: LoadTarget,
    plan: LoadPlan,
    options: OfferLoadOptions = {},
): Promise<LoadOutcome> {
    const clock = createSystemClock();
    const client = createCallerClient({ clock, callerDelayMilliseconds: plan.callerDelayMilliseconds });
    const random = createRandomSource(plan.seed);
    const runName = `run-${randomUUID().slice(0, runNameCharacters)}`;
    const balancer = createBalancer(target.entries, clock);
    const history = createHistory();
    const services: LoadServices = { client, clock, history, plan, random, runName, target, balancer };
    try {
        const run = await runLoad(services, options);
        const states: FinalState[] = [];
        for (const database of target.databases) {
            const proxyState = await readProxyState(services, database);
            const endpointStates = await options.readEndpointStates?.(database) ?? [];
            states.push(...endpointStates.map(state => selectListsOfRun(state, runName)), proxyState);
        }
        return { run, summary: summarizeLoad(run), verdict: checkHistory(run.operations, states) };
    }
    finally {
        await Promise.all([client.stop(), balancer.stop()]);
    }
}

/** Selects the lists of this run; earlier runs may have written others. */
function selectListsOfRun(state: FinalState, runName: string): FinalState {
    const lists = [...state.lists].filter(([list]) => list.startsWith(`${runName}/`));
    return { ...state, lists: new Map(lists) };
}
