import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import type { RequestKeyLookUp } from "./RequestKeyLookUp.js";

/** Runs single-statement requests at endpoints. */
export interface EndpointRequests {
    /** Runs the request; never fails. The signal ends the wait before anything was sent. */
    execute(request: EndpointRequest, signal?: AbortSignal): Promise<EndpointReply>;
    /**
     * Looks up the outcome under a request key; never fails.
     *
     * Returns the recorded outcome, or `NotRun` with reason `Cancelled` when the original had not run and never will.
     * Any other refusal or failure is returned as `OutcomeUnknown`.
     */
    lookUpRequestKey(lookUp: RequestKeyLookUp, signal?: AbortSignal): Promise<EndpointReply>;
    describeWork(): readonly string[];
    start(): Promise<void>;
    /** Refuses new requests and those waiting for a slot; waits for those that have one. */
    stop(): Promise<void>;
}
