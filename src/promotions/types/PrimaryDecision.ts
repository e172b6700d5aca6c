/** Result of asking all endpoints of a group which of them is the primary. */
export enum PrimaryDecision {
    /** One endpoint is certainly the primary, and was announced. */
    Decided = "Decided",
    /** An endpoint claims to be the primary, but another one may lead in a higher term. */
    Undecided = "Undecided",
    /** No endpoint claims to be the primary. */
    NoPrimary = "NoPrimary",
}
