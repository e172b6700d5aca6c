import type { OwnedSession } from "./OwnedSession.js";

/** What the choice of an idle connection that makes room for another one needs to know. */
export type EvictionCandidate = Pick<OwnedSession, "owner" | "priority" | "openedAt" | "lastServedAt">;
