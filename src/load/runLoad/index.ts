import { setMaxListeners } from "node:events";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { runSession } from "../runSession/index.js";
import type { CauseFaults } from "../types/CauseFaults.js";
import type { LoadFault } from "../types/LoadFault.js";
import type { LoadRun } from "../types/LoadRun.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { SessionState } from "../types/SessionState.js";

/** Options of `runLoad`. */
interface RunLoadOptions {
    /** Ends the run early. */
    readonly signal?: AbortSignal;
    /** Causes faults during the load; the run does not end before this has finished. */
    readonly causeFaults?: CauseFaults;
}

/**
 * Offers load to an installation: closed-loop sessions with operations drawn from one seed.
 *
 * @param services The client, the clock, the history, the plan, the random source and the target.
 * @param options A signal that ends the run early, and a function that causes faults during the load.
 * @returns The finished run, with all operations complete.
 * @throws TarragonpostError of kind `InvalidSettings` when the target has no entry, caller or database.
 *
 * @example
 * const run = await runLoad(services, { causeFaults: recordFault => killPrimary(recordFault) });
 */
export async function runLoad(services: LoadServices, options: RunLoadOptions = {}): Promise<LoadRun> {
    const { clock, history, plan } = services;
    const faults: LoadFault[] = [];
    const closeController = new AbortController();
    setMaxListeners(0, closeController.signal);
    const startedAt = clock.now();
    const sessions = Array.from({ length: plan.sessionCount }, (_, index) => createSession(services, index));
    const running = sessions.map((session, index) => {
        const random = createRandomSource(plan.seed * plan.sessionCount + index);
        return runSession({ ...services, random }, session, closeController.signal);
    });
    try {
        await Promise.all([
            clock.sleep(plan.durationMilliseconds, options.signal),
            options.causeFaults?.(fault => faults.push({ ...fault, at: clock.now() }), history.operations),
        ]);
    }
    finally {
        closeController.abort();
        await Promise.all(running);
    }
    return { operations: history.operations, startedAt, endedAt: clock.now(), faults };
}

function createSession({ runName, target }: LoadServices, index: number): SessionState {
    const entry = target.entries[index % target.entries.length];
    const database = target.databases[index % target.databases.length];
    const caller = target.callers[Math.floor(index / target.databases.length) % target.callers.length];
    if (entry === undefined || database === undefined || caller === undefined) {
        throw createError(ErrorKind.InvalidSettings, "The target has no entry, no database or no caller.", {
            remedy: "Name at least one of each in the target file.",
        });
    }
    const name = `${runName}-session-${index}`;
    return { name, caller, database, homeRegion: entry.region, entry, writeCount: 0 };
}
