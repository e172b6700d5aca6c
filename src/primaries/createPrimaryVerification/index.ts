import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Primaries } from "../types/Primaries.js";
import type { PrimaryVerification } from "../types/PrimaryVerification.js";

/** Options of `createPrimaryVerification`. */
interface PrimaryVerificationOptions {
    readonly directory: Directory;
    readonly primaries: Primaries;
    /** Whether this VM holds a lease, so that it is notified of each change of primary before it takes effect. */
    readonly hasLease: () => boolean;
    /** Queries an endpoint whether it is the primary; undefined when its answer does not tell, fails without one. */
    readonly queryIsPrimary: (endpointId: string) => Promise<boolean | undefined>;
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
}

/**
 * Creates the verification of primaries. A VM with a lease is notified of each change of primary before it takes
 * effect. A VM without one queries all other endpoints of the group, since only one of those can have been promoted.
 *
 * @param options Directory, known primaries, state of the lease, and function that queries endpoints.
 * @returns The verification.
 *
 * @example
 * const isVerified = verification.isVerified(endpoint) || await verification.verify(endpoint);
 */
export function createPrimaryVerification(options: PrimaryVerificationOptions): PrimaryVerification {
    const { directory, primaries, log } = options;
    const pendingByEndpoint = new Map<string, PendingVerifications>();
    /** What was logged last for each group. */
    const loggedReliance = new Map<string, string>();

    function isVerified(endpoint: EndpointRecord): boolean {
        const isVouchedFor = options.hasLease()
            && !primaries.hasPrimaryConflict(endpoint.group)
            && !primaries.isChangeUnfinished(endpoint.group)
            && !primaries.isSuperseded(endpoint)
            && primaries.primaryOf(endpoint.group)?.id === endpoint.id;
        if (isVouchedFor) {
            logReliance(endpoint, RelianceReason.Lease);
        }
        return isVouchedFor;
    }

    /** Logs why a primary is relied on, when this differs from the last time. */
    function logReliance({ id, group }: EndpointRecord, reason: RelianceReason): void {
        const reliance = `${id} ${reason}`;
        if (loggedReliance.get(group) !== reliance) {
            loggedReliance.set(group, reliance);
            log("primary is relied on", { group, endpoint: id, reason, observedTerm: primaries.termOf(group) });
        }
    }

    function verify(endpoint: EndpointRecord): Promise<boolean> {
        const pending = pendingByEndpoint.get(endpoint.id) ?? {};
        pendingByEndpoint.set(endpoint.id, pending);
        if (pending.waiting !== undefined) {
            return pending.waiting;
        }
        const previous = pending.running ?? Promise.resolve(true);
        const verification = previous.then(() => {
            pending.waiting = undefined;
            pending.running = verification;
            return queryOthers(endpoint);
        });
        pending.waiting = verification;
        return verification;
    }

    async function queryOthers(endpoint: EndpointRecord): Promise<boolean> {
        const others = directory.endpointsOf(endpoint.group).filter(other => other.id !== endpoint.id);
        const answers = await Promise.all(others.map(({ id }) => options.queryIsPrimary(id).catch(() => undefined)));
        const hasNoOtherPrimary = others.length > 0 && answers.every(isPrimary => isPrimary === false);
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

    return { isVerified, verify };
}
