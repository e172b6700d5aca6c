import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupRecord } from "./GroupRecord.js";

/** Who is primary, who owns which endpoint, who is leaving: hints for routing. Safety rests on endpoints' terms. */
export interface TopologyService {
    groupOf(database: string): GroupRecord | undefined;
    /** The gateways that may hold connections to the endpoint, best first. */
    ownersOf(endpoint: string): readonly PeerRecord[];
    isLeaving(endpoint: string): boolean;
    /** Takes in a record unless a higher term is known; returns whether it was new. */
    learn(record: GroupRecord): boolean;
    /** Resolves with the record once its term is at least `term`, or undefined at the time limit or the abort. */
    waitForTerm(
        database: string,
        term: number,
        timeoutMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<GroupRecord | undefined>;
    onChange(listener: (database: string) => void): () => void;
}
