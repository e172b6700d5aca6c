import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { Verifiability } from "./Verifiability.js";

/** Verifies that an endpoint was its group's primary, before its answer is relied on. */
export interface PrimaryVerification {
    /** Whether the endpoint is verified without a query. */
    isVerified(endpoint: EndpointRecord): boolean;
    /**
     * Whether a query verified the endpoint recently: a write may be sent to it. Its answer has to be verified again.
     */
    wasVerified(endpoint: EndpointRecord): boolean;
    /** Whether queries can verify the endpoint. */
    verifiabilityOf(endpoint: EndpointRecord): Verifiability;
    /**
     * Queries the other endpoints of the group whether one of them is the primary. Resolves with true when none was at a
     * time after the call: the endpoint's log then had every acknowledged commit when it last proved, before the call, that
     * it had not stepped down.
     */
    verify(endpoint: EndpointRecord): Promise<boolean>;
}
