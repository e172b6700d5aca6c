import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";

/** Makes sure that an endpoint was its group's primary, before something that it answered is relied on. */
export interface PrimaryCertainty {
    /** Whether it is sure without asking. */
    isSure(endpoint: EndpointRecord): boolean;
    /**
     * Asks the other endpoints of the group whether one of them leads. True when none did at a moment after the call,
     * so that whatever the endpoint did before was done as the primary.
     */
    confirm(endpoint: EndpointRecord): Promise<boolean>;
}
