import type { CallerReply } from "./CallerReply.js";

/** How one operation ended, and the reply that says so. */
export type OperationResult = Pick<
    CallerReply,
    "outcome" | "reason" | "result" | "sessionToken" | "servedBy" | "ageMilliseconds"
>;
