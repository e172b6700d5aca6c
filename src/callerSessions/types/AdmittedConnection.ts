/** The place of one connection among those that the process may have. */
export interface AdmittedConnection {
    /** Its session was opened. */
    recordOpened(): void;
    /** A byte has passed on it. */
    recordActivity(): void;
    /** It was closed. */
    release(): void;
}
