import type { RequestKind } from "../../messages/types/RequestKind.js";
import type { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import type { CallerReply } from "./CallerReply.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { TransactionBeginRequest } from "./TransactionBeginRequest.js";
import type { TransactionStepRequest } from "./TransactionStepRequest.js";

/** Runs callers' requests. Every promise resolves with an outcome within the request's deadline. */
export interface RequestExecutionService {
    execute(request: CallerRequest): Promise<CallerReply>;
    lookUpRequestKey(
        request: Omit<CallerRequest, "kind" | "statement"> & { requestKey: string; },
    ): Promise<CallerReply>;
    beginTransaction(request: TransactionBeginRequest): Promise<CallerReply>;
    executeInTransaction(
        step: TransactionStepRequest & { readonly kind: RequestKind; readonly statement: unknown; },
    ): Promise<CallerReply>;
    endTransaction(step: TransactionStepRequest & { readonly kind: TransactionEndKind; }): Promise<CallerReply>;
    /** Number of requests in flight. */
    readonly requestsInFlight: number;
}
