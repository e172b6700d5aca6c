/** A hybrid logical clock reading: wall time, then a counter that keeps causal order. */
export interface HybridTimestamp {
    readonly wallMilliseconds: number;
    readonly counter: number;
}
