/** Limits of one group of endpoints. */
export interface GroupSettings {
    readonly group: string;
    /** Connections that an endpoint accepts from all processes together. */
    readonly connectionLimit: number;
    /** Replicas that must have received a commit before it is acknowledged. */
    readonly synchronousReplicas: number;
}
