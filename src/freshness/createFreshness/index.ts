import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { freshnessConstants } from "../constants.js";
import type { FreshnessEvidence } from "../types/FreshnessEvidence.js";
import type { FreshnessService } from "../types/FreshnessService.js";

/** Asks the owner of the database's primary for a current position. */
type PositionReader = (database: string, timeoutMilliseconds: number) => Promise<EndpointReply>;

/**
 * Creates an entry's record of freshness evidence. It needs no synchronized clocks: only its own stamps are compared.
 *
 * @param clock Source of monotonic time.
 * @param readPosition Asks for a position that includes everything acknowledged before the call.
 * @returns The freshness service.
 *
 * @example
 * const evidence = await freshness.refresh("stock", 500);
 */
export function createFreshness(clock: Clock, readPosition: PositionReader): FreshnessService {
    const evidenceByDatabase = new Map<string, FreshnessEvidence[]>();
    const refreshing = new Map<string, Promise<FreshnessEvidence | EndpointReply>>();

    function note(database: string, evidence: FreshnessEvidence): void {
        const known = evidenceByDatabase.get(database) ?? [];
        const newest = known.at(-1);
        if (newest !== undefined && evidence.stampedAt <= newest.stampedAt) {
            return;
        }
        known.push(evidence);
        if (known.length > freshnessConstants.rememberedEvidence) {
            known.shift();
        }
        evidenceByDatabase.set(database, known);
    }

    function evidenceFor(database: string, position: number): FreshnessEvidence | undefined {
        return evidenceByDatabase.get(database)?.findLast(evidence => evidence.position <= position);
    }

    async function ask(database: string, timeoutMilliseconds: number): Promise<FreshnessEvidence | EndpointReply> {
        const stampedAt = clock.now();
        const reply = await readPosition(database, timeoutMilliseconds);
        if (reply.outcome !== OutcomeKind.Answer) {
            return reply;
        }
        const evidence = { position: reply.position, stampedAt };
        note(database, evidence);
        return evidence;
    }

    function refresh(database: string, timeoutMilliseconds: number): Promise<FreshnessEvidence | EndpointReply> {
        const running = refreshing.get(database);
        if (running !== undefined) {
            return running;
        }
        const asking = ask(database, timeoutMilliseconds).finally(() => refreshing.delete(database));
        refreshing.set(database, asking);
        return asking;
    }

    return { note, evidenceFor, newest: database => evidenceByDatabase.get(database)?.at(-1), refresh };
}
