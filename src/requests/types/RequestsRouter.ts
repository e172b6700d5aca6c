import type { createRequestsRouter } from "../createRequestsRouter/index.js";

/** The router of `requests.execute` and `requests.lookUp`, for the clients of a gateway. */
export type RequestsRouter = ReturnType<typeof createRequestsRouter>;
