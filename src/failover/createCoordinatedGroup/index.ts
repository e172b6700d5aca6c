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
 * Creates what a coordinator remembers of one group between its steps.
 *
 * @param database Name of the database.
 * @param probes The probes of all endpoints of the group, by endpoint name.
 * @param dependencies Services that it uses.
 * @returns The group.
 *
 * @example
 * const group = createCoordinatedGroup("stock", probes, dependencies);
 * const term = group.takeTerm();
 */
export function createCoordinatedGroup(
    database: string,
    probes: ReadonlyMap<string, EndpointProbe>,
    dependencies: FailoverDependencies,
): CoordinatedGroup {
    const { dissemination, terms, clock, random, events } = dependencies;
    const { shortestStandBackMilliseconds, longestStandBackMilliseconds } = failoverConstants;
    let refusedTerm = 0;
    let returnedTerm = 0;
    let standBackUntil = -Infinity;
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
        const seen = [...probes.values()].flatMap(probe => {
            const { status } = probe.observation();
            return status === undefined ? [] : [status.fencedTerm, status.term, status.lastEntryTerm];
        });
        return Math.max(refusedTerm, record()?.term ?? 0, ...seen);
    }

    function takeTerm(): number | undefined {
        if (returnedTerm > 0 && returnedTerm >= highestTerm()) {
            const term = returnedTerm;
            returnedTerm = 0;
            return term;
        }
        return terms.take(database, highestTerm());
    }

    function standBack(higherTerm: number): void {
        refusedTerm = Math.max(refusedTerm, higherTerm);
        const spread = longestStandBackMilliseconds - shortestStandBackMilliseconds;
        standBackUntil = clock.now() + shortestStandBackMilliseconds + random.next() * spread;
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
        takeTerm,
        returnTerm: term => {
            returnedTerm = term;
        },
        standBack,
        isStandingBack: () => clock.now() < standBackUntil,
        reportWaiting,
        activity: () => activity,
    };
}
