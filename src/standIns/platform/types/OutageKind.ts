/** How the platform stand-in fails. */
export enum OutageKind {
    None = "None",
    /** Every call is answered with status 503 at once. */
    Refusing = "Refusing",
    /** No call is answered. */
    Hanging = "Hanging",
}
