import type { PeerContext } from "../../transport/types/PeerContext.js";
import type { IndirectProbe } from "./IndirectProbe.js";
import type { MembershipUpdates } from "./MembershipUpdates.js";
import type { PeerRecord } from "./PeerRecord.js";
import type { ProbeMessage } from "./ProbeMessage.js";

/** What the membership router asks of the service. */
export interface MembershipExchange {
    probe(message: ProbeMessage, caller: PeerContext): MembershipUpdates;
    /** Probes on behalf of another gateway; returns whether there was an answer. */
    probeFor(request: IndirectProbe): Promise<boolean>;
    /** Takes in a starting gateway and answers all records. */
    join(record: PeerRecord, caller: PeerContext): readonly PeerRecord[];
    /** Answers the records of the buckets whose digests differ. */
    synchronize(digests: readonly number[]): readonly PeerRecord[];
}
