import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupRecord } from "./GroupRecord.js";

/** Known primaries, owners and leaving endpoints, as hints for routing. Safety depends only on the endpoints' terms. */
export interface TopologyService {
    groupOf(database: string): GroupRecord | undefined;
    /** The gateways that may hold connections to the endpoint, best first. */
    ownersOf(endpoint: string): readonly PeerRecord[];
    isLeaving(endpoint: string): boolean;
    /** Applies a record unless the same or a higher term is known; returns whether the record was applied. */
    applyGroupRecord(record: GroupRecord): boolean;
    /** Resolves with the record once its term is at least `term`, or undefined at the time limit or the abort. */
    waitForTerm(
        database: string,
        term: number,
        timeoutMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<GroupRecord | undefined>;
    onChange(listener: (database: string) => void): () => void;
}
