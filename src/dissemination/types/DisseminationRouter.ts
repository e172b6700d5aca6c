import type { createDisseminationRouter } from "../createDisseminationRouter/index.js";

/** Type of the router of the dissemination service. */
export type DisseminationRouter = ReturnType<typeof createDisseminationRouter>;
