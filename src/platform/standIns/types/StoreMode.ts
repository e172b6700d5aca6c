/** Behaviour of the store's stand-in towards requests. */
export enum StoreMode {
    Serving = "Serving",
    /** Answers with status 503; requests have no effect. */
    Busy = "Busy",
    /** Does not answer; requests have no effect. */
    Silent = "Silent",
    /** Executes writes and closes the connection instead of answering. */
    LosingAnswers = "LosingAnswers",
}
