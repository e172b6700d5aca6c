import type { Clock } from "../../clock/types/Clock.js";
import { compareStoreVersions } from "../../directory/compareStoreVersions/index.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { comparePositions } from "../../statements/comparePositions/index.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { primaryConstants } from "../constants.js";
import type { Primaries } from "../types/Primaries.js";

/** State that identifies the primary of one group. */
interface KnownGroupState {
    /** Highest observed term. */
    term: number;
    /** Highest term in an observed log position. */
    logTerm: number;
    /** Id of the last known primary, for log lines. */
    lastPrimary?: string;
    /** Time until which no primary is known because of a change in progress. */
    changingUntil?: number;
    /** Whether a change was announced and neither its end nor its cancellation. */
    isChangeUnfinished: boolean;
    /** The primary announced by the VM that changed it; valid until a higher term is observed. */
    announced?: AnnouncedPrimary;
}

/** An announced primary. */
interface AnnouncedPrimary {
    readonly endpointId: string;
    readonly term: number;
    /** End of its log by its answers since; undefined before the first. */
    logEnd?: LogPosition;
}

/** Marks an endpoint as not being the primary, although its record says so; a newer record ends it. */
interface Disqualification {
    readonly record: EndpointRecord;
    readonly until: number;
}

/**
 * Creates the record of the primaries that a VM knows.
 *
 * It derives them from the endpoints' records, terms in answers, refusals, and announcements of the VM that changes
 * primaries. A superseded endpoint is disqualified until a pause is over or its record changes.
 *
 * @param clock Source of time.
 * @param directory The endpoints' records.
 * @param log Receives a line for each change of a known primary.
 * @returns The known primaries, updated with each change of the directory.
 *
 * @example
 * const primary = primaries.primaryOf("orders");
 */
export function createPrimaries(clock: Clock, directory: Directory, log: LogTopic): Primaries {
    const statesByGroup = new Map<string, KnownGroupState>();
    /**
     * Highest term in what each endpoint answered as the primary; before the first such answer, the term in the first
     * answer of an endpoint while it was the known primary.
     */
    const termsAsPrimary = new Map<string, number>();
    const disqualifications = new Map<string, Disqualification>();
    const listeners: ((group: string) => void)[] = [];

    directory.onChange(groups => groups.forEach(notify));

    function stateOf(group: string): KnownGroupState {
        let state = statesByGroup.get(group);
        if (state === undefined) {
            state = { term: 0, logTerm: 0, isChangeUnfinished: false };
            statesByGroup.set(group, state);
        }
        return state;
    }

    function primaryOf(group: string): EndpointRecord | undefined {
        const state = stateOf(group);
        if (state.changingUntil !== undefined && clock.now() < state.changingUntil) {
            return undefined;
        }
        return announcedPrimary(state) ?? registeredPrimary(group);
    }

    function announcedPrimary(state: KnownGroupState): EndpointRecord | undefined {
        const { announced } = state;
        const endpoint = announced && directory.endpoint(announced.endpointId);
        if (announced === undefined || endpoint === undefined) {
            return undefined;
        }
        return state.term > announced.term || isDisqualified(endpoint) ? undefined : endpoint;
    }

    function registeredPrimary(group: string): EndpointRecord | undefined {
        const termOf = ({ id }: EndpointRecord): number => termsAsPrimary.get(id) ?? 0;
        return directory.endpointsOf(group)
            .filter(endpoint => endpoint.isPrimary && !isDisqualified(endpoint))
            .sort((left, right) => termOf(right) - termOf(left) || compareStoreVersions(right, left))[0];
    }

    function isDisqualified(endpoint: EndpointRecord): boolean {
        const disqualification = disqualifications.get(endpoint.id);
        return disqualification !== undefined && compareStoreVersions(disqualification.record, endpoint) >= 0
            && clock.now() < disqualification.until;
    }

    function disqualify(record: EndpointRecord): void {
        const { id, group } = record;
        disqualifications.set(id, { record, until: clock.now() + primaryConstants.disqualifiedMilliseconds });
        // The disqualification expires by itself; listeners that wait for a primary have to be notified then.
        void clock.sleep(primaryConstants.disqualifiedMilliseconds + 1).then(() => notify(group));
    }

    function recordPosition(endpoint: EndpointRecord, position: LogPosition): void {
        const state = stateOf(endpoint.group);
        const primary = primaryOf(endpoint.group);
        if (primary?.id === endpoint.id && !termsAsPrimary.has(endpoint.id)) {
            termsAsPrimary.set(endpoint.id, position.term);
        }
        recordLogEnd(endpoint, position);
        if (position.term <= state.term) {
            return;
        }
        state.term = position.term;
        log("higher term observed", { group: endpoint.group, term: position.term, endpoint: endpoint.id });
        if (primary !== undefined && isSuperseded(primary)) {
            const primaryTerm = leadingTermOf(primary);
            log("primary may be superseded", { group: endpoint.group, endpoint: primary.id, primaryTerm });
            disqualify(primary);
        }
        notify(endpoint.group);
    }

    function recordPositionAsPrimary(endpoint: EndpointRecord, position: LogPosition): void {
        termsAsPrimary.set(endpoint.id, Math.max(termsAsPrimary.get(endpoint.id) ?? position.term, position.term));
        recordPosition(endpoint, position);
    }

    function recordLogEnd({ id, group }: EndpointRecord, position: LogPosition): void {
        const state = stateOf(group);
        const { announced } = state;
        state.logTerm = Math.max(state.logTerm, position.term);
        if (announced?.endpointId === id && comparePositions(position, announced.logEnd ?? position) >= 0) {
            announced.logEnd = position;
        }
    }

    function isOnNewestBranch(group: string, logEnd: LogPosition): boolean {
        const { announced, term, logTerm } = stateOf(group);
        if (announced === undefined || announced.term < term) {
            return logEnd.term >= logTerm;
        }
        // Until its first commit, the log of the announced primary ends where its branch begins.
        const isBeforeBranch = announced.logEnd !== undefined && announced.logEnd.term < announced.term
            && comparePositions(logEnd, announced.logEnd) <= 0;
        const isForgotten = directory.endpoint(announced.endpointId) === undefined;
        return logEnd.term >= announced.term || isBeforeBranch || isForgotten;
    }

    /** Highest term in which an endpoint is known to lead; undefined when none is known. */
    function leadingTermOf({ id, group }: EndpointRecord): number | undefined {
        const { announced } = stateOf(group);
        // The log of an endpoint that leads in a new term has positions of the old one until its first commit.
        const terms = [termsAsPrimary.get(id), announced?.endpointId === id ? announced.term : undefined];
        const knownTerms = terms.filter(term => term !== undefined);
        return knownTerms.length === 0 ? undefined : Math.max(...knownTerms);
    }

    function isSuperseded(endpoint: EndpointRecord): boolean {
        const leadingTerm = leadingTermOf(endpoint);
        return leadingTerm !== undefined && leadingTerm < stateOf(endpoint.group).term;
    }

    /** Whether a change is under way, or has taken place, whose end was not announced to this VM. */
    function isChangeUnfinished(group: string): boolean {
        const { announced, term, isChangeUnfinished: isUnfinished } = stateOf(group);
        const isOutdated = announced !== undefined
            && (announced.term < term || directory.endpoint(announced.endpointId) === undefined);
        return isUnfinished || isOutdated;
    }

    function isOtherAnnounced({ id, group }: EndpointRecord): boolean {
        const { announced } = stateOf(group);
        return announced !== undefined && announced.endpointId !== id;
    }

    function recordNotPrimary(endpoint: EndpointRecord): void {
        log("endpoint is not the primary", { group: endpoint.group, endpoint: endpoint.id });
        disqualify(endpoint);
        notify(endpoint.group);
    }

    function beginChange(group: string, term: number): void {
        const state = stateOf(group);
        state.changingUntil = clock.now() + primaryConstants.changeExpiryMilliseconds;
        state.isChangeUnfinished = true;
        log("change of primary begins", { group, term, observedTerm: state.term, from: state.lastPrimary });
        void clock.sleep(primaryConstants.changeExpiryMilliseconds + 1).then(() => notify(group));
    }

    function finishChange(group: string, endpointId: string, term: number): void {
        const state = stateOf(group);
        const observedTerm = state.term;
        state.changingUntil = undefined;
        state.isChangeUnfinished = false;
        state.term = Math.max(state.term, term);
        state.announced = { endpointId, term };
        disqualifications.delete(endpointId);
        log("change of primary finished", { group, term, observedTerm, endpoint: endpointId });
        notify(group);
    }

    function cancelChange(group: string): void {
        const state = stateOf(group);
        state.changingUntil = undefined;
        state.isChangeUnfinished = false;
        log("change of primary cancelled", { group });
        notify(group);
    }

    function notify(group: string): void {
        const state = stateOf(group);
        const primary = primaryOf(group)?.id;
        if (primary !== state.lastPrimary) {
            log("known primary changed", { group, endpoint: primary, previous: state.lastPrimary, term: state.term });
            state.lastPrimary = primary;
        }
        listeners.forEach(listener => listener(group));
    }

    function hasPrimaryConflict(group: string): boolean {
        const { announced, term } = stateOf(group);
        const claimants = directory.endpointsOf(group).filter(endpoint => endpoint.isPrimary);
        return claimants.length > 1 && (announced === undefined || announced.term < term);
    }

    return {
        primaryOf,
        hasPrimaryConflict,
        isChangeUnfinished,
        isSuperseded,
        isOtherAnnounced,
        termOf: group => stateOf(group).term,
        isOnNewestBranch,
        recordPosition,
        recordPositionAsPrimary,
        recordNotPrimary,
        beginChange,
        finishChange,
        cancelChange,
        onChange: listener => listeners.push(listener),
    };
}
