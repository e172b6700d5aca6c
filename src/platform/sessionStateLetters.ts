import { SessionState } from "../statements/types/SessionState.js";

/** Letter of the wire protocol for each session state. */
export const sessionStateLetters: Readonly<Record<SessionState, string>> = {
    [SessionState.Idle]: "I",
    [SessionState.InTransaction]: "T",
    [SessionState.FailedTransaction]: "E",
};
