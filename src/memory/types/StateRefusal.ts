/** Why a session may not keep more. */
export enum StateRefusal {
    /** The session keeps as much as one may. */
    SessionFull = "SessionFull",
    /** All sessions together keep as much as the process has memory for. */
    ProcessFull = "ProcessFull",
}
