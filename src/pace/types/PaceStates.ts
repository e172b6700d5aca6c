import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { PacedEndpoint } from "./PacedEndpoint.js";
import type { StatementEnd } from "./StatementEnd.js";

/** What this VM has found of all endpoints. */
export interface PaceStates {
    /** The state of an endpoint; created if there is none. */
    get(endpoint: EndpointRecord): PacedEndpoint;
    find(endpointId: string): PacedEndpoint | undefined;
    /** The states of the endpoints that have a record. */
    list(): readonly PacedEndpoint[];
    /** Lowest failure rate of the other endpoints of its group in service, from 0 to 1; undefined without evidence. */
    rateOfOthers(endpoint: EndpointRecord): number | undefined;
    /** Sets an endpoint aside if it fails more than others, and returns those that do not. */
    judge(endpoint: EndpointRecord): void;
    /** Records how a probe ended. */
    endProbe(endpoint: EndpointRecord, end: StatementEnd): void;
}
