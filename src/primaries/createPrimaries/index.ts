import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { primaryConstants } from "../constants.js";
import type { Primaries } from "../types/Primaries.js";

/** What is believed about one group. */
interface GroupBelief {
    /** Highest term seen. */
    term: number;
    /** The endpoint last found to be the primary, for the log. */
    lastPrimary?: string;
    /** Until when a change under way holds the present primary back. */
    changingUntil?: number;
    /** Told by the VM that changed the primary; holds until a higher term is seen. */
    announced?: { readonly endpointId: string; readonly term: number; };
}

/** Why an endpoint is not taken for the primary although its record says so. */
interface Refutation {
    readonly revision: number;
    readonly until: number;
}

/**
 * Creates a VM's belief about the primaries.
 *
 * It rests on the endpoints' records, on terms seen in answers, on refusals, and on what the VM that changes primaries
 * tells. An endpoint that was seen to be superseded is not asked again before its record changes.
 *
 * @param clock Source of time.
 * @param directory The endpoints' records.
 * @param log Writes a line for each change of belief.
 * @returns The belief, following the directory.
 *
 * @example
 * const primary = primaries.primaryOf("orders");
 */
export function createPrimaries(clock: Clock, directory: Directory, log: LogTopic): Primaries {
    const beliefs = new Map<string, GroupBelief>();
    /** Highest term that each endpoint told as the primary. */
    const termsAsPrimary = new Map<string, number>();
    const refutations = new Map<string, Refutation>();
    const listeners: ((group: string) => void)[] = [];

    directory.onChange(groups => groups.forEach(notify));

    function beliefOf(group: string): GroupBelief {
        let belief = beliefs.get(group);
        if (belief === undefined) {
            belief = { term: 0 };
            beliefs.set(group, belief);
        }
        return belief;
    }

    function primaryOf(group: string): EndpointRecord | undefined {
        const belief = beliefOf(group);
        if (belief.changingUntil !== undefined && clock.now() < belief.changingUntil) {
            return undefined;
        }
        return announcedPrimary(belief) ?? registeredPrimary(group);
    }

    function announcedPrimary(belief: GroupBelief): EndpointRecord | undefined {
        const { announced } = belief;
        const endpoint = announced && directory.endpoint(announced.endpointId);
        if (announced === undefined || endpoint === undefined) {
            return undefined;
        }
        return belief.term > announced.term || isRefuted(endpoint) ? undefined : endpoint;
    }

    function registeredPrimary(group: string): EndpointRecord | undefined {
        const termOf = ({ id }: EndpointRecord): number => termsAsPrimary.get(id) ?? 0;
        return directory.endpointsOf(group)
            .filter(endpoint => endpoint.isPrimary && !isRefuted(endpoint))
            .sort((left, right) => termOf(right) - termOf(left) || right.revision - left.revision)[0];
    }

    function isRefuted(endpoint: EndpointRecord): boolean {
        const refutation = refutations.get(endpoint.id);
        return refutation !== undefined && refutation.revision >= endpoint.revision && clock.now() < refutation.until;
    }

    function refuteForNow({ id, group, revision }: EndpointRecord): void {
        refutations.set(id, { revision, until: clock.now() + primaryConstants.refutedMilliseconds });
        // The refutation ends by itself; whoever waits has to be told then.
        void clock.sleep(primaryConstants.refutedMilliseconds + 1).then(() => notify(group));
    }

    function notePosition(endpoint: EndpointRecord, position: LogPosition): void {
        const belief = beliefOf(endpoint.group);
        const present = primaryOf(endpoint.group);
        if (present?.id === endpoint.id) {
            termsAsPrimary.set(endpoint.id, position.term);
        }
        if (position.term <= belief.term) {
            return;
        }
        belief.term = position.term;
        log("higher term seen", { group: endpoint.group, term: position.term, endpoint: endpoint.id });
        const presentTerm = present && termsAsPrimary.get(present.id);
        if (present !== undefined && presentTerm !== undefined && presentTerm < position.term) {
            log("primary may be superseded", { group: endpoint.group, endpoint: present.id, presentTerm });
            refuteForNow(present);
        }
        notify(endpoint.group);
    }

    function noteNotPrimary(endpoint: EndpointRecord): void {
        log("endpoint is not the primary", { group: endpoint.group, endpoint: endpoint.id });
        refuteForNow(endpoint);
        notify(endpoint.group);
    }

    function beginChange(group: string, term: number): void {
        const belief = beliefOf(group);
        belief.changingUntil = clock.now() + primaryConstants.changeMilliseconds;
        log("change of primary begins", { group, term, from: belief.lastPrimary });
        void clock.sleep(primaryConstants.changeMilliseconds + 1).then(() => notify(group));
    }

    function finishChange(group: string, endpointId: string, term: number): void {
        const belief = beliefOf(group);
        belief.changingUntil = undefined;
        belief.term = Math.max(belief.term, term);
        belief.announced = { endpointId, term };
        refutations.delete(endpointId);
        log("change of primary is over", { group, term, endpoint: endpointId });
        notify(group);
    }

    function cancelChange(group: string): void {
        beliefOf(group).changingUntil = undefined;
        log("change of primary was given up", { group });
        notify(group);
    }

    function notify(group: string): void {
        const belief = beliefOf(group);
        const primary = primaryOf(group)?.id;
        if (primary !== belief.lastPrimary) {
            log("primary", { group, endpoint: primary, previous: belief.lastPrimary, term: belief.term });
            belief.lastPrimary = primary;
        }
        listeners.forEach(listener => listener(group));
    }

    function isDisputed(group: string): boolean {
        const { announced, term } = beliefOf(group);
        const claimants = directory.endpointsOf(group).filter(endpoint => endpoint.isPrimary);
        return claimants.length > 1 && (announced === undefined || announced.term < term);
    }

    return {
        primaryOf,
        isDisputed,
        termOf: group => beliefOf(group).term,
        notePosition,
        noteNotPrimary,
        beginChange,
        finishChange,
        cancelChange,
        onChange: listener => listeners.push(listener),
    };
}
