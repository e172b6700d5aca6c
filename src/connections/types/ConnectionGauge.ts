/** Connection counts of one endpoint's pool. */
export interface ConnectionGauge {
    readonly endpoint: string;
    readonly open: number;
    readonly inUse: number;
    readonly limit: number;
}
