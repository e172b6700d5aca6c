import type { createMembershipRouter } from "../createMembershipRouter/index.js";

/** Type of the router of the membership service. */
export type MembershipRouter = ReturnType<typeof createMembershipRouter>;
