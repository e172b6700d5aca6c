import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { freshnessConstants } from "../constants.js";
import type { FreshnessEvidence } from "../types/FreshnessEvidence.js";
import type { FreshnessService } from "../types/FreshnessService.js";

/** Requests a current position from the owner of the database's primary. */
type ReadPosition = (database: string, timeoutMilliseconds: number) => Promise<EndpointReply>;

/**
 * Creates the freshness service of an entry. Clocks need no synchronization: only time stamps of this process are
 * compared.
 *
 * @param clock Source of monotonic time.
 * @param readPosition Requests a position that includes every entry acknowledged before the call.
 * @returns The freshness service.
 *
 * @example
 * const evidence = await freshness.refresh("stock", 500);
 */
export function createFreshness(clock: Clock, readPosition: ReadPosition): FreshnessService {
    const evidenceByDatabase = new Map<string, FreshnessEvidence[]>();
    const pendingRefreshes = new Map<string, Promise<FreshnessEvidence | EndpointReply>>();

    function recordEvidence(database: string, evidence: FreshnessEvidence): void {
        const known = evidenceByDatabase.get(database) ?? [];
        const newest = known.at(-1);
        if (newest !== undefined && evidence.stampedAt <= newest.stampedAt) {
            return;
        }
        known.push(evidence);
        if (known.length > freshnessConstants.maximumEvidencePerDatabase) {
            known.shift();
        }
        evidenceByDatabase.set(database, known);
    }

    function evidenceFor(database: string, position: number): FreshnessEvidence | undefined {
        return evidenceByDatabase.get(database)?.findLast(evidence => evidence.position <= position);
    }

    async function requestPosition(
        database: string,
        timeoutMilliseconds: number,
    ): Promise<FreshnessEvidence | EndpointReply> {
        const stampedAt = clock.now();
        const reply = await readPosition(database, timeoutMilliseconds);
        if (reply.outcome !== OutcomeKind.Answer) {
            return reply;
        }
        const evidence = { position: reply.position, stampedAt };
        recordEvidence(database, evidence);
        return evidence;
    }

    function refresh(database: string, timeoutMilliseconds: number): Promise<FreshnessEvidence | EndpointReply> {
        const pending = pendingRefreshes.get(database);
        if (pending !== undefined) {
            return pending;
        }
        const request = requestPosition(database, timeoutMilliseconds).finally(() => pendingRefreshes.delete(database));
        pendingRefreshes.set(database, request);
        return request;
    }

    return {
        recordEvidence,
        evidenceFor,
        newestEvidence: database => evidenceByDatabase.get(database)?.at(-1),
        refresh,
    };
}
