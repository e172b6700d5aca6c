/** Endpoints of the model of what a VM knows of a group. */
export enum KnowledgeEndpoint {
    /** The primary at the start, on which the VM relies. */
    Former = "Former",
    /** A replica that the VM knows. */
    Replica = "Replica",
    /** An endpoint that registers while the VM may be cut off. */
    Newcomer = "Newcomer",
}
