import { EventKind } from "../../events/types/EventKind.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { choosePromotionCandidate } from "../choosePromotionCandidate/index.js";
import { confirmTerm } from "../confirmTerm/index.js";
import { failoverConstants } from "../constants.js";
import { fenceEndpoints } from "../fenceEndpoints/index.js";
import { readRefusedTerm } from "../readRefusedTerm/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";

/** Options of `changePrimary`. */
interface ChangePrimaryOptions {
    readonly reason: string;
    /** Endpoints to promote only if there is no majority without them. */
    readonly avoided: ReadonlySet<string>;
    /** Endpoint that is promoted when no other has a more advanced log. */
    readonly preferred?: string;
    /** An endpoint that must hold the marker before the term counts as confirmed. */
    readonly requiredHolder?: string;
}

/**
 * Changes the primary of a group: fences a majority at a new term, promotes the most advanced endpoint and confirms
 * its marker.
 *
 * No term ever has two primaries: a term is not used again once the promotion of an endpoint was requested with it.
 *
 * @param group The group.
 * @param options Reason of the change, and endpoints to avoid or prefer.
 * @returns The record of the new term, not yet published; undefined when the change failed.
 *
 * @example
 * const record = await changePrimary(group, { reason: "it refuses connections", avoided: new Set(["stock-1"]) });
 */
export async function changePrimary(
    group: CoordinatedGroup,
    options: ChangePrimaryOptions,
): Promise<GroupRecord | undefined> {
    const { database, dependencies: { events, logger } } = group;
    const term = group.allocateTerm();
    if (term === undefined) {
        group.reportWaiting(
            `No term is reserved for ${database} yet; the platform's store must be reachable for a reservation.`,
        );
        return undefined;
    }
    const recordEvent = (kind: EventKind, text: string, endpoint?: string): void =>
        events.record({ kind, database, term, endpoint, text });
    recordEvent(EventKind.FailoverStarted, `Changing the primary of ${database}: ${options.reason}.`);
    const { answers, higherTerm } = await fenceEndpoints(group, term, options.avoided);
    if (higherTerm !== undefined) {
        group.backOff(higherTerm);
        group.reportWaiting(`Another coordinator uses term ${higherTerm} of ${database}, above ${term}.`);
        return undefined;
    }
    const holdings = answers.map(answer =>
        `${answer.endpoint} (last entry: term ${answer.lastEntryTerm}, position ${answer.position})`
    );
    recordEvent(EventKind.Fenced, `Fenced ${holdings.join(", ")}.`);
    const candidate = choosePromotionCandidate(answers, { ...options, majority: group.majority });
    const primary = candidate === undefined ? undefined : group.probes.get(candidate.endpoint);
    if (candidate === undefined || primary === undefined) {
        group.returnTerm(term);
        group.reportWaiting(`Only ${answers.length} of ${group.probes.size} endpoints of ${database} could be fenced.`);
        return undefined;
    }
    try {
        await primary.withConnection(connection => connection.promote(term, failoverConstants.callTimeoutMilliseconds));
        recordEvent(EventKind.Promoted, `Promoted ${candidate.endpoint}.`, candidate.endpoint);
        return await confirmTerm(group, { term, primary: candidate.endpoint, requiredHolder: options.requiredHolder });
    }
    catch (error) {
        group.backOff(readRefusedTerm(error) ?? 0);
        group.reportWaiting(`${candidate.endpoint} could not become the primary of term ${term}: ${String(error)}`);
        logger.topic("failover")("promotion failed", { database, term, error: String(error) });
        return undefined;
    }
}
