import type { createMembershipRouter } from "../createMembershipRouter/index.js";

/** The router that the membership service mounts. */
export type MembershipRouter = ReturnType<typeof createMembershipRouter>;
