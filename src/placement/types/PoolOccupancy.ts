import type { EvictionCandidate } from "./EvictionCandidate.js";

/** The connections of one VM to one endpoint, as far as it matters for opening another one. */
export interface PoolOccupancy<Candidate extends EvictionCandidate> {
    /** The idle connections. */
    readonly idle: readonly Candidate[];
    /** Number of connections by owner: open ones, whether idle or not, and those that are being opened. */
    readonly counts: ReadonlyMap<string, number>;
    /** Number of connections that the VM may hold. */
    readonly limit: number;
}
