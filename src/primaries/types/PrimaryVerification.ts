import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";

/** Verifies that an endpoint was its group's primary, before its answer is relied on. */
export interface PrimaryVerification {
    /** Whether the endpoint is verified without a query. */
    isVerified(endpoint: EndpointRecord): boolean;
    /**
     * Whether a query verified the endpoint recently: a write may be sent to it. Its answer has to be verified again.
     */
    wasVerified(endpoint: EndpointRecord): boolean;
    /**
     * Whether the endpoints that this VM knows are enough to learn from them of each change of primary, or may soon be
     * while it has just started; otherwise no query can verify the endpoint.
     */
    canVerify(endpoint: EndpointRecord): boolean;
    /**
     * Queries the endpoints of the group which of them is the primary. Resolves with true when the endpoint was, and no
     * other, at a time after the call, so that the endpoint was the primary in everything it did before the call.
     */
    verify(endpoint: EndpointRecord): Promise<boolean>;
}
