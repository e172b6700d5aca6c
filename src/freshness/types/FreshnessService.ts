import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { FreshnessEvidence } from "./FreshnessEvidence.js";

/** Proofs of how old data at a position can be, on this process's own clock. */
export interface FreshnessService {
    /** Notes that everything acknowledged before `stampedAt` is at or below the position. */
    note(database: string, evidence: FreshnessEvidence): void;
    /** The newest evidence that a position satisfies. */
    evidenceFor(database: string, position: number): FreshnessEvidence | undefined;
    /** The newest evidence at all. */
    newest(database: string): FreshnessEvidence | undefined;
    /**
     * Asks the primary's owner for new evidence; calls at the same time share one question.
     *
     * Resolves with the evidence, or with the reply that says why there is none.
     */
    refresh(database: string, timeoutMilliseconds: number): Promise<FreshnessEvidence | EndpointReply>;
}
