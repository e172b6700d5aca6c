import type { SessionOpening } from "../../callerSessions/types/SessionOpening.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { HostedSession } from "./HostedSession.js";

/** Creates a session at another VM, which opens it with the first statement. */
export type SessionOpener = (host: VmIdentity, opening: SessionOpening) => HostedSession;
