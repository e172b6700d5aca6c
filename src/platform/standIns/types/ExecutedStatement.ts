/** A caller's statement as an endpoint ran it, for checks. */
export interface ExecutedStatement {
    readonly id: string;
    readonly endpointId: string;
    /** Number of the connection on which it ran. */
    readonly connection: number;
    readonly isInTransaction: boolean;
    readonly values: Readonly<Record<string, string>>;
    /** Shape of the prepared statement that it executed. */
    readonly shape?: string;
}
