import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { loadConstants } from "../constants.js";
import { drawStatement } from "../drawStatement/index.js";
import { performOperation } from "../performOperation/index.js";
import type { LoadEntry } from "../types/LoadEntry.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { SessionState } from "../types/SessionState.js";

/**
 * Runs one session until the signal is aborted: one operation after another, at changing entries.
 *
 * @param services Services that the sessions share.
 * @param session The session.
 * @param signal Ends the session after the operation in flight.
 * @returns Nothing.
 *
 * @example
 * await runSession(services, session, AbortSignal.timeout(10_000));
 */
export async function runSession(services: LoadServices, session: SessionState, signal: AbortSignal): Promise<void> {
    const { clock, plan, random } = services;
    await clock.sleep(random.next() * plan.pauseMilliseconds, signal);
    while (!signal.aborted) {
        if (random.next() < plan.roamShare || services.balancer?.isServing(session.entry) === false) {
            session.entry = drawEntry(services, session);
        }
        const operation = await performOperation(services, session, drawStatement(services, session));
        if (operation.outcome !== OutcomeKind.Answer) {
            session.entry = drawEntry(services, session);
            await clock.sleep(drawPause(services, loadConstants.meanRefusalPauseMilliseconds), signal);
        }
        if (plan.pauseMilliseconds > 0) {
            await clock.sleep(drawPause(services, plan.pauseMilliseconds), signal);
        }
    }
}

function drawPause({ random }: LoadServices, meanMilliseconds: number): number {
    return -Math.log(1 - random.next()) * meanMilliseconds;
}

function drawEntry({ random, target, balancer }: LoadServices, session: SessionState): LoadEntry {
    const isCrossRegion = random.next() < loadConstants.crossRegionRoamShare;
    const serving = target.entries.filter(entry => balancer?.isServing(entry) !== false);
    const nearby = serving.filter(entry => isCrossRegion || entry.region === session.homeRegion);
    const candidates = nearby.length > 0 ? nearby : serving;
    return candidates[random.nextInteger(candidates.length)] ?? session.entry;
}
