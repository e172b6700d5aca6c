import type { PeerContext } from "../../transport/types/PeerContext.js";
import type { IndirectProbe } from "./IndirectProbe.js";
import type { MembershipUpdates } from "./MembershipUpdates.js";
import type { PeerRecord } from "./PeerRecord.js";
import type { ProbeMessage } from "./ProbeMessage.js";

/** Functions that the router of the membership service calls for requests of peers. */
export interface MembershipExchange {
    /** Applies the updates of a probe and returns others. */
    probe(message: ProbeMessage, sender: PeerContext): MembershipUpdates;
    /** Probes a gateway on behalf of another one; returns whether it answered in time. */
    probeFor(request: IndirectProbe): Promise<boolean>;
    /** Applies the record of a joining gateway and returns the known records. */
    join(record: PeerRecord, sender: PeerContext): readonly PeerRecord[];
    /** Returns records of the buckets whose digests differ. */
    synchronize(digests: readonly number[]): readonly PeerRecord[];
}
