import type { createDisseminationRouter } from "../createDisseminationRouter/index.js";

/** The router that the dissemination service mounts. */
export type DisseminationRouter = ReturnType<typeof createDisseminationRouter>;
