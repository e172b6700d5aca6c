/** How the stand-in of the store treats calls. */
export enum StoreMode {
    Serving = "Serving",
    /** It answers that it is unavailable; nothing is done. */
    Busy = "Busy",
    /** It answers nothing. */
    Silent = "Silent",
    /** It does writes and breaks the connection. */
    LosingAnswers = "LosingAnswers",
}
