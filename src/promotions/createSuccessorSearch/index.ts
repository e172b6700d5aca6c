import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { comparePositions } from "../../statements/comparePositions/index.js";
import { chooseSuccessor } from "../chooseSuccessor/index.js";
import { promotionConstants } from "../constants.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { CandidateStatus } from "../types/CandidateStatus.js";
import type { EndpointControl } from "../types/EndpointControl.js";
import type { GroupMembers } from "../types/GroupMembers.js";
import type { SharedEndpoints } from "../types/SharedEndpoints.js";
import type { SuccessorSearch } from "../types/SuccessorSearch.js";

/** Options of `createSuccessorSearch`. */
interface SuccessorSearchOptions {
    readonly clock: Clock;
    readonly directory: Pick<Directory, "endpointsOf" | "groupSettings">;
    readonly control: Pick<EndpointControl, "runFromAnyVm">;
    readonly regionsByZone: Readonly<Record<string, string>>;
    readonly members: Pick<GroupMembers, "countOf">;
    readonly sharedEndpoints: Pick<SharedEndpoints, "isKnownToAll">;
    readonly primaries: Pick<Primaries, "isOnNewestBranch" | "termOf">;
    readonly log: LogTopic;
}

/** Attempts to change a group's primary that found only logs of an earlier term. */
interface NewestLogWait {
    readonly term: number;
    readonly startedAt: number;
    attemptedAt: number;
}

/** Parameters of one search. */
type SearchParameters = Parameters<SuccessorSearch["find"]>[0];

/**
 * Creates the search for the endpoint that succeeds a group's primary.
 *
 * Commits that were acknowledged in a term are in no log that ends in an earlier one, and such a log may have entries that
 * the primary of the term dropped. While only such logs can be promoted, the search fails, so that an endpoint with the
 * newest log may come back; after a bounded time it takes what there is.
 *
 * A VM without a lease queries the endpoints that it knows before it relies on a primary. One of them has to tell it of
 * the change: the former primary, if it has stepped down, or else the successor, which all VMs then have to know. An
 * endpoint that leads already in the newest term may always be promoted.
 *
 * @param options Clock, endpoints, their members, which of them all VMs know, and the known terms.
 * @returns The search.
 *
 * @example
 * const { endpoint, status } = await successors.find({ group: "orders", currentPrimary, logEnd });
 */
export function createSuccessorSearch(options: SuccessorSearchOptions): SuccessorSearch {
    const { clock, directory, control, members, sharedEndpoints, primaries, log } = options;
    const waits = new Map<string, NewestLogWait>();

    async function require({ group, currentPrimary }: Omit<SearchParameters, "logEnd">): Promise<void> {
        const queries = listCandidates(group, currentPrimary).map(queryStatus);
        const canBegin = [
            ...queries.map(async query => maySucceed(group, await query)),
            ...currentPrimary ? [isAnsweringPrimary(currentPrimary)] : [],
        ];
        if (await isAnyTrue(canBegin)) {
            return;
        }
        const candidates = (await Promise.all(queries)).filter(candidate => candidate !== undefined);
        if (candidates.length > 0) {
            assertAnyIsKnown(group, candidates);
            assertWaitIsOver(group, candidates);
        }
    }

    /** Fails while no candidate is known to all VMs: the change would begin, and find no successor. */
    function assertAnyIsKnown(group: string, candidates: readonly CandidateStatus[]): void {
        if (!candidates.some(candidate => isEligible(group, candidate))) {
            failWithoutCandidate(group, candidates);
        }
    }

    /** A primary that answers can step down and tell the end of its log. */
    async function isAnsweringPrimary(endpoint: EndpointRecord): Promise<boolean> {
        return (await queryStatus(endpoint))?.status.isPrimary === true;
    }

    /** Resolves with the first condition that is true. */
    async function isAnyTrue(conditions: readonly Promise<boolean>[]): Promise<boolean> {
        const fulfilled = conditions.map(async condition => {
            if (!await condition) {
                throw new Error("the condition is false");
            }
        });
        return await Promise.any(fulfilled).then(() => true, () => false);
    }

    function maySucceed(group: string, candidate: CandidateStatus | undefined): boolean {
        return candidate !== undefined && isEligible(group, candidate) && isOnNewestBranch(group, candidate);
    }

    /** Whether every VM that may verify a primary without a lease would learn from a candidate that it was promoted. */
    function isEligible(group: string, { endpoint, status }: CandidateStatus): boolean {
        const isNewestPrimary = status.isPrimary && status.term >= primaries.termOf(group);
        return isNewestPrimary || sharedEndpoints.isKnownToAll(endpoint);
    }

    function isOnNewestBranch(group: string, { status }: CandidateStatus): boolean {
        return primaries.isOnNewestBranch(group, status.received);
    }

    /** Fails, as none of the candidates may succeed, unless the group has waited long enough. */
    function assertWaitIsOver(group: string, candidates: readonly CandidateStatus[]): void {
        const term = primaries.termOf(group);
        const { newestLogWaitMilliseconds } = promotionConstants;
        const waitedMilliseconds = clock.now() - recordAttempt(group, term).startedAt;
        const isOver = waitedMilliseconds >= newestLogWaitMilliseconds;
        log(isOver ? "a log of an earlier term is accepted" : "no endpoint with the newest log answers", {
            group,
            term,
            waitedMilliseconds: Math.round(waitedMilliseconds),
            candidates: candidates.map(({ endpoint: { id }, status }) => ({ id, ...status })),
        });
        if (!isOver) {
            throw createError(ErrorKind.Unreachable, `No endpoint of ${group} with a log of term ${term} answers.`, {
                remedy: "Wait until such an endpoint is back; one with an earlier log is promoted after a while.",
                details: { group, term, newestLogWaitMilliseconds },
            });
        }
    }

    function recordAttempt(group: string, term: number): NewestLogWait {
        const now = clock.now();
        let wait = waits.get(group);
        const isContinued = wait?.term === term
            && now - wait.attemptedAt < promotionConstants.newestLogWaitGapMilliseconds;
        if (wait === undefined || !isContinued) {
            wait = { term, startedAt: now, attemptedAt: now };
            waits.set(group, wait);
        }
        wait.attemptedAt = now;
        return wait;
    }

    async function find(search: SearchParameters): Promise<CandidateStatus> {
        const { group, logEnd } = search;
        const deadline = clock.now() + promotionConstants.catchUpMilliseconds;
        for (;;) {
            const candidates = await queryCandidates(search);
            const best = chooseBest(search, candidates.filter(candidate => isOnNewestBranch(group, candidate)));
            if (best !== undefined && holdsWholeLog(best, search)) {
                return best;
            }
            if (clock.now() >= deadline) {
                const substitute = best ?? chooseBest(search, candidates) ?? failWithoutCandidate(group, candidates);
                if (best === undefined && logEnd === undefined) {
                    assertWaitIsOver(group, candidates);
                }
                return substitute;
            }
            await clock.sleep(promotionConstants.pollingMilliseconds);
        }
    }

    function holdsWholeLog({ status }: CandidateStatus, { logEnd }: SearchParameters): boolean {
        return logEnd === undefined || comparePositions(status.received, logEnd) >= 0;
    }

    function failWithoutCandidate(group: string, candidates: readonly CandidateStatus[]): never {
        const unknownIds = candidates
            .filter(candidate => !isEligible(group, candidate))
            .map(({ endpoint }) => endpoint.id)
            .join(", ");
        throw createError(ErrorKind.Unreachable, `No endpoint of ${group} can be promoted.`, {
            remedy: "Start another endpoint of the group; with synchronous replicas, wait for those that may hold "
                + "acknowledged commits, or accept their loss by a configuration without synchronous replicas. An "
                + "endpoint that a VM may not know yet is promoted once the former primary has stepped down, or later.",
            details: { group, members: members.countOf(group), unknownIds },
        });
    }

    /** Whether the former primary tells everyone who asks that it stepped down, and that its term was the newest. */
    function hasStepDownEvidence({ group, logEnd }: SearchParameters): boolean {
        return logEnd !== undefined && logEnd.term >= primaries.termOf(group);
    }

    function listCandidates(group: string, currentPrimary: EndpointRecord | undefined): readonly EndpointRecord[] {
        return directory.endpointsOf(group).filter(({ id, isLeaving }) => id !== currentPrimary?.id && !isLeaving);
    }

    async function queryCandidates({ group, currentPrimary }: SearchParameters): Promise<readonly CandidateStatus[]> {
        const candidates = await Promise.all(listCandidates(group, currentPrimary).map(queryStatus));
        return candidates.filter(candidate => candidate !== undefined);
    }

    function chooseBest(
        search: SearchParameters,
        candidates: readonly CandidateStatus[],
    ): CandidateStatus | undefined {
        const { group, currentPrimary } = search;
        return chooseSuccessor(candidates, {
            replicas: (members.countOf(group) ?? Infinity) - 1,
            synchronousReplicas: directory.groupSettings(group)?.synchronousReplicas ?? 0,
            preferredRegion: currentPrimary && options.regionsByZone[currentPrimary.address.availabilityZone],
            regionsByZone: options.regionsByZone,
            isEligible: candidate => hasStepDownEvidence(search) || isEligible(group, candidate),
        });
    }

    async function queryStatus(endpoint: EndpointRecord): Promise<CandidateStatus | undefined> {
        const status = await readEndpointStatus(control, endpoint.id).catch((error: unknown) => {
            log("candidate for promotion did not answer", { endpoint: endpoint.id, reason: (error as Error).message });
            return undefined;
        });
        return status && { endpoint, status };
    }

    return { require, find };
}
