/** Why a wait was ended early; given to `abort`, whose default reason is an error that costs much to make. */
export const waitIsOver = "the wait is over";
