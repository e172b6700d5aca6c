import type { createFailoverRouter } from "../createFailoverRouter/index.js";

/** The router that the failover service mounts. */
export type FailoverRouter = ReturnType<typeof createFailoverRouter>;
