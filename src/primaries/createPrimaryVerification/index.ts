import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { dutyConstants } from "../../duty/constants.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { primaryConstants } from "../constants.js";
import type { EndpointRole } from "../types/EndpointRole.js";
import type { Primaries } from "../types/Primaries.js";
import type { PrimaryVerification } from "../types/PrimaryVerification.js";
import { Verifiability } from "../types/Verifiability.js";

/** Options of `createPrimaryVerification`. */
interface PrimaryVerificationOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly primaries: Primaries;
    /** Whether this VM holds a lease, so that it is notified of each change of primary before it takes effect. */
    readonly hasLease: () => boolean;
    /** Time since this VM was last in contact with the holder of the failover duty, in milliseconds; undefined before. */
    readonly holderAgeMilliseconds: () => number | undefined;
    /** Queries an endpoint whether it is the primary; fails when it does not answer. */
    readonly queryRole: (endpointId: string) => Promise<EndpointRole>;
    readonly metrics: Pick<Metrics, "countPrimaryVerification">;
    readonly log: LogTopic;
}

/** Why a primary is relied on. */
enum RelianceReason {
    Lease = "Lease",
    /** The other endpoints of the group were queried. */
    QueriedEndpoints = "QueriedEndpoints",
}

/** Verifications of one endpoint. */
interface PendingVerifications {
    /** In flight: it may have begun before the answer that a new caller relies on. */
    running?: Promise<boolean>;
    /** Not yet begun; new callers share it. */
    waiting?: Promise<boolean>;
    /** When the last query was sent that verified the endpoint. */
    verifiedAt: number;
}

/**
 * Creates the verification of primaries. A VM with a lease is notified of each change of primary before it takes effect. A
 * VM without one queries all other endpoints of the group that it knows, since one of them may have been promoted while
 * the primary was out of reach of the holder of the failover duty. The log of each also tells whether a newer term has
 * begun. That the endpoint has not stepped down for a successor that this VM does not know, it has to tell itself.
 *
 * The holder makes sure that one of these endpoints knows of each change of primary. It can do so only for VMs that were
 * in contact with it not too long ago, and for endpoints that such a VM has not lost since.
 *
 * @param options Clock, directory, known primaries, lease and contact, and function that queries endpoints.
 * @returns The verification.
 *
 * @example
 * const isVerified = verification.isVerified(endpoint) || await verification.verify(endpoint);
 */
export function createPrimaryVerification(options: PrimaryVerificationOptions): PrimaryVerification {
    const { clock, directory, primaries, log } = options;
    const pendingByEndpoint = new Map<string, PendingVerifications>();
    /** What was logged last for each group. */
    const loggedReliance = new Map<string, string>();

    function isVerified(endpoint: EndpointRecord): boolean {
        const isVouchedFor = options.hasLease()
            && !primaries.hasPrimaryConflict(endpoint.group)
            && !primaries.isChangeUnfinished(endpoint.group)
            && !primaries.isSuperseded(endpoint)
            && !primaries.isOtherAnnounced(endpoint)
            && primaries.primaryOf(endpoint.group)?.id === endpoint.id;
        if (isVouchedFor) {
            logReliance(endpoint, RelianceReason.Lease);
        }
        return isVouchedFor;
    }

    /** Logs why a primary is relied on, when this differs from the last time. */
    function logReliance({ id, group }: EndpointRecord, reason: RelianceReason): void {
        if (isNews(group, `${id} ${reason}`)) {
            log("primary is relied on", { group, endpoint: id, reason, observedTerm: primaries.termOf(group) });
        }
    }

    /** Whether something else was logged last about the primary of a group. */
    function isNews(group: string, reliance: string): boolean {
        const isOther = loggedReliance.get(group) !== reliance;
        loggedReliance.set(group, reliance);
        return isOther;
    }

    function pendingOf({ id }: EndpointRecord): PendingVerifications {
        let pending = pendingByEndpoint.get(id);
        if (pending === undefined) {
            pending = { verifiedAt: -Infinity };
            pendingByEndpoint.set(id, pending);
        }
        return pending;
    }

    function wasVerified(endpoint: EndpointRecord): boolean {
        const age = clock.now() - pendingOf(endpoint).verifiedAt;
        return age < primaryConstants.recentVerificationMilliseconds && !primaries.isSuperseded(endpoint);
    }

    function verify(endpoint: EndpointRecord): Promise<boolean> {
        const pending = pendingOf(endpoint);
        if (pending.waiting !== undefined) {
            return pending.waiting;
        }
        const previous = pending.running ?? Promise.resolve(true);
        const verification = previous.then(async () => {
            pending.waiting = undefined;
            pending.running = verification;
            const queriedAt = clock.now();
            const hasNoOtherPrimary = await queryOthers(endpoint);
            if (hasNoOtherPrimary) {
                pending.verifiedAt = queriedAt;
            }
            return hasNoOtherPrimary;
        });
        pending.waiting = verification;
        return verification;
    }

    /** Queries whether an endpoint is the primary, and records its log's term; undefined when that stays open. */
    async function queryIsPrimary(endpoint: EndpointRecord): Promise<boolean | undefined> {
        try {
            const { isPrimary, position } = await options.queryRole(endpoint.id);
            if (position !== undefined) {
                const record = isPrimary === true ? primaries.recordPositionAsPrimary : primaries.recordPosition;
                record(endpoint, position);
            }
            return isPrimary;
        }
        catch {
            return undefined;
        }
    }

    function verifiabilityOf({ id, group }: EndpointRecord): Verifiability {
        const holderAgeMilliseconds = options.holderAgeMilliseconds();
        if (holderAgeMilliseconds === undefined) {
            return Verifiability.NotYet;
        }
        const lostEndpoints = directory.lostEndpointsOf(group, dutyConstants.longestUnattendedMilliseconds);
        if (holderAgeMilliseconds < dutyConstants.longestUnattendedMilliseconds && lostEndpoints.length === 0) {
            return Verifiability.Possible;
        }
        if (isNews(group, `${id} is not verified`)) {
            log("primary cannot be verified: this VM may lack an endpoint", {
                group,
                endpoint: id,
                holderAgeMilliseconds: Math.round(holderAgeMilliseconds),
                lostEndpoints,
            });
        }
        return Verifiability.Impossible;
    }

    async function queryOthers(endpoint: EndpointRecord): Promise<boolean> {
        const others = directory.endpointsOf(endpoint.group).filter(other => other.id !== endpoint.id);
        const answers = await Promise.all(others.map(queryIsPrimary));
        const hasNoOtherPrimary = verifiabilityOf(endpoint) === Verifiability.Possible
            && answers.every(isPrimary => isPrimary === false)
            && !primaries.isSuperseded(endpoint);
        options.metrics.countPrimaryVerification(hasNoOtherPrimary);
        if (hasNoOtherPrimary) {
            logReliance(endpoint, RelianceReason.QueriedEndpoints);
        }
        else {
            log("primary could not be verified", {
                group: endpoint.group,
                endpoint: endpoint.id,
                otherPrimaries: others.filter((_other, index) => answers[index] === true).map(({ id }) => id),
                unresponsive: others.filter((_other, index) => answers[index] === undefined).map(({ id }) => id),
            });
        }
        return hasNoOtherPrimary;
    }

    return { isVerified, wasVerified, verifiabilityOf, verify };
}
