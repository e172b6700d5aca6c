/** Options of the operator's command, as given on the command line. */
export interface OperatorOptions {
    readonly settings?: string;
    readonly gateway?: string;
    readonly versionNumber?: number;
    readonly against?: number;
    readonly id?: string;
    readonly wait?: boolean;
    readonly binary?: string;
    readonly request?: string;
    readonly database?: string;
    readonly follow?: boolean;
}
