import type { EvictionCandidate } from "./EvictionCandidate.js";
import type { OpeningDecisionKind } from "./OpeningDecisionKind.js";

/** What a pool does about a connection that an owner needs. */
export type OpeningDecision<Candidate extends EvictionCandidate> =
    | { readonly kind: OpeningDecisionKind.Open; }
    | { readonly kind: OpeningDecisionKind.Replace; readonly evicted: Candidate; }
    | { readonly kind: OpeningDecisionKind.Wait; };
