/** Kinds of outages of the platform stand-in. */
export enum OutageKind {
    None = "None",
    /** Every call is answered with status 503 at once. */
    Refusing = "Refusing",
    /** No call is answered. */
    Hanging = "Hanging",
}
