import type { KnowledgeEndpoint } from "./KnowledgeEndpoint.js";

/** A state of the model: three endpoints, holders of the failover duty, and a VM without a lease that reads. */
export interface KnowledgeState {
    /** Endpoint that was promoted last. */
    readonly leader: KnowledgeEndpoint;
    /** Endpoints that have led and stepped down. */
    readonly steppedDown: readonly KnowledgeEndpoint[];
    /** Whether the leader has acknowledged a commit in its term. */
    readonly hasCommitted: boolean;
    /** Whether the log of the replica shows that it has led since the former primary. */
    readonly hasTermInLog: boolean;
    /** Whether the newcomer has registered. */
    readonly hasNewcomer: boolean;
    /** Endpoints in the VM's directory beside the former primary. */
    readonly knownEndpoints: readonly KnowledgeEndpoint[];
    /** Whether the VM has lost an endpoint that had not left. */
    readonly hasLostEndpoint: boolean;
    /** Whether the VM reaches no holder and no other VM. */
    readonly isCut: boolean;
    /** Whether the VM was cut off for so long that it need not be taken into account. */
    readonly isSilent: boolean;
    /** Whether the VM has reported that it knows the newcomer, and the holder has recorded it. */
    readonly hasReported: boolean;
    /** Whether the holder takes the VM into account. */
    readonly countsVm: boolean;
    /** Number of changes of the holder that may still happen. */
    readonly holderChangesLeft: number;
    /** Whether the VM has returned a read of the former primary that lacked an acknowledged commit. */
    readonly hasReadStale: boolean;
}
