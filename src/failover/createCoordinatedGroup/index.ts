import { RecordKind } from "../../dissemination/types/RecordKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import { isGroupRecord } from "../../topology/isGroupRecord/index.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { failoverConstants } from "../constants.js";
import { majorityOf } from "../majorityOf/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";

/**
 * Creates the state that a coordinator keeps of one group between the iterations of its loop.
 *
 * @param database Name of the database.
 * @param probes The probes of all endpoints of the group, by endpoint name.
 * @param dependencies Services that it uses.
 * @returns The group.
 *
 * @example
 * const group = createCoordinatedGroup("stock", probes, dependencies);
 * const term = group.allocateTerm();
 */
export function createCoordinatedGroup(
    database: string,
    probes: ReadonlyMap<string, EndpointProbe>,
    dependencies: FailoverDependencies,
): CoordinatedGroup {
    const { dissemination, terms, clock, random, events } = dependencies;
    const {
        minimumBackoffMilliseconds,
        maximumBackoffMilliseconds,
    } = failoverConstants;
    let refusedTerm = 0;
    let returnedTerm = 0;
    let backoffUntil = -Infinity;
    let activity = "";

    function record(): GroupRecord | undefined {
        const value = dissemination.get(RecordKind.Group, database)?.value;
        return isGroupRecord(value) ? value : undefined;
    }

    function publish(published: GroupRecord): void {
        activity = `${published.primary} serves term ${published.term}`;
        dissemination.publish({ kind: RecordKind.Group, key: database, stamp: published.term, value: published });
    }

    function highestTerm(): number {
        const observedTerms = [...probes.values()].flatMap(probe => {
            const { status } = probe.observation();
            return status === undefined ? [] : [status.fencedTerm, status.term, status.lastEntryTerm];
        });
        return Math.max(refusedTerm, record()?.term ?? 0, ...observedTerms);
    }

    function allocateTerm(): number | undefined {
        if (returnedTerm > 0 && returnedTerm >= highestTerm()) {
            const term = returnedTerm;
            returnedTerm = 0;
            return term;
        }
        return terms.allocate(database, highestTerm());
    }

    function backOff(higherTerm: number): void {
        refusedTerm = Math.max(refusedTerm, higherTerm);
        const spread = maximumBackoffMilliseconds - minimumBackoffMilliseconds;
        backoffUntil = clock.now() + minimumBackoffMilliseconds + random.next() * spread;
    }

    function reportWaiting(text: string): void {
        if (activity !== text) {
            activity = text;
            events.record({ kind: EventKind.FailoverWaiting, database, term: highestTerm(), text });
        }
    }

    return {
        database,
        majority: majorityOf(probes.size),
        probes,
        dependencies,
        record,
        publish,
        highestTerm,
        allocateTerm,
        returnTerm: term => {
            returnedTerm = term;
        },
        backOff,
        isBackingOff: () => clock.now() < backoffUntil,
        reportWaiting,
        activity: () => activity,
    };
}
