/** Which data a read was promised. */
export enum ReadGuarantee {
    /** All that its session wrote or saw before. */
    Session = "Session",
    /** All that anyone had acknowledged before the read began. */
    Latest = "Latest",
    /** All that anyone had acknowledged earlier than the proven age, besides what its session wrote or saw. */
    Age = "Age",
    /** Any state that once was acknowledged: a new session has no floor. */
    Any = "Any",
}
