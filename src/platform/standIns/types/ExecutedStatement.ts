/** A caller's statement that an endpoint executed, for checks. */
export interface ExecutedStatement {
    readonly id: string;
    readonly endpointId: string;
    /** Number of the connection on which the statement was executed. */
    readonly connection: number;
    /** In whose name the connection was opened. */
    readonly owner: string;
    readonly isInTransaction: boolean;
    /** Values that the session had set. */
    readonly values: Readonly<Record<string, string>>;
    /** Shape of the prepared statement, if the statement executed one. */
    readonly shape?: string;
}
