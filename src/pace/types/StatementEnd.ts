/** How a statement ended, as evidence about its endpoint. */
export enum StatementEnd {
    /** The endpoint answered it. */
    Answered = "Answered",
    /** The endpoint had no slot or connection for it. */
    Refused = "Refused",
    /** The endpoint failed it, or closed its connection. */
    Failed = "Failed",
    /** No answer came in time. */
    Silent = "Silent",
    /** It says nothing about the endpoint's pace. */
    Neutral = "Neutral",
}
