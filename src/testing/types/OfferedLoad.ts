/** Operations that callers ask for at one host. */
export interface OfferedLoad {
    readonly owner: string;
    readonly operationsPerSecond: number;
    readonly milliseconds: number;
    readonly priority?: number;
    readonly needsPrimary?: boolean;
}
