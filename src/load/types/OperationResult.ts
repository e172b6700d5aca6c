import type { CallerReply } from "./CallerReply.js";

/** Outcome of one operation, with the fields of the reply that are recorded. */
export type OperationResult = Pick<
    CallerReply,
    "outcome" | "reason" | "result" | "sessionToken" | "servedBy" | "ageMilliseconds"
>;
