import { SessionState } from "../statements/types/SessionState.js";

/** The wire's letter for each state of a session. */
export const stateWords: Readonly<Record<SessionState, string>> = {
    [SessionState.Idle]: "I",
    [SessionState.InTransaction]: "T",
    [SessionState.FailedTransaction]: "E",
};
