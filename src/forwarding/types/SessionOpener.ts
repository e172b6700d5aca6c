import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { HostedSession } from "./HostedSession.js";

/** Creates a session for a database at another VM, which opens it with the first statement. */
export type SessionOpener = (host: VmIdentity, database: string) => HostedSession;
