import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { HostedSession } from "./HostedSession.js";

/** Opens a session for a database at another VM; fails when that VM does not answer in time or refuses. */
export type SessionOpener = (host: VmIdentity, database: string) => Promise<HostedSession>;
