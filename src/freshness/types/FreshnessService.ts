import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { FreshnessEvidence } from "./FreshnessEvidence.js";

/** Evidence of the maximum age of data at a position, measured by this process's own clock. */
export interface FreshnessService {
    /** Records that every entry acknowledged before `stampedAt` is at or below the position. */
    recordEvidence(database: string, evidence: FreshnessEvidence): void;
    /** The newest evidence whose position is at or below the given one. */
    evidenceFor(database: string, position: number): FreshnessEvidence | undefined;
    /** The newest evidence of the database. */
    newestEvidence(database: string): FreshnessEvidence | undefined;
    /**
     * Requests new evidence from the primary's owner; concurrent calls share one request.
     *
     * Resolves with the evidence, or with the reply that states why there is none.
     */
    refresh(database: string, timeoutMilliseconds: number): Promise<FreshnessEvidence | EndpointReply>;
}
