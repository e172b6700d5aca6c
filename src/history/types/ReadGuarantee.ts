/** Data that a read is guaranteed to return. */
export enum ReadGuarantee {
    /** Everything that its session wrote or read before. */
    Session = "Session",
    /** All writes of any caller that were acknowledged before the read began. */
    Latest = "Latest",
    /** All writes of any caller acknowledged before the reported age, and everything that its session wrote or read. */
    Age = "Age",
    /** Any state that was acknowledged at some time: a new session has no least position. */
    Any = "Any",
}
