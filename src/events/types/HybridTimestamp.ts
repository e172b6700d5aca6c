/** A hybrid logical timestamp: wall time, then a counter that preserves causal order. */
export interface HybridTimestamp {
    readonly wallMilliseconds: number;
    readonly counter: number;
}
