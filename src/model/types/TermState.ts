import type { ChangePhase } from "./ChangePhase.js";
import type { TermEndpoint } from "./TermEndpoint.js";
import type { TermScope } from "./TermScope.js";
import type { WritePhase } from "./WritePhase.js";

/** An announcement of the holder. */
interface TermAnnouncement {
    readonly sequence: number;
    /** Promoted endpoint; undefined while the change is unfinished, and before the first one. */
    readonly endpoint: number | undefined;
    readonly term: number;
}

/** A state of the model of terms: three endpoints, the holder that changes their primary, a VM with a write. */
export interface TermState {
    /** What the search covers; the same in all states. */
    readonly scope: TermScope;
    /** The endpoints; the first is the first primary. */
    readonly endpoints: readonly TermEndpoint[];
    readonly holder: {
        readonly phase: ChangePhase;
        readonly knownTerm: number;
        readonly primary: number;
        /** Endpoint that the last change promotes; each change promotes the next one. */
        readonly successor: number;
        /** Term that the holder derived from what it knew when the change began. */
        readonly derivedTerm: number;
        /** Whether the primary answered the order to step down. */
        readonly isAnswered: boolean;
        /** Whether the primary held the write when it answered. */
        readonly mustCopyWrite: boolean;
        readonly announcement: TermAnnouncement;
    };
    readonly vm: {
        readonly hasLease: boolean;
        /** Highest observed term. */
        readonly knownTerm: number;
        readonly announcement: TermAnnouncement;
        /** Endpoints that the records known to the VM name as the primary. */
        readonly registered: readonly boolean[];
        /** Endpoints whose record the VM knows. */
        readonly listed: readonly boolean[];
    };
    readonly write: {
        readonly phase: WritePhase;
        readonly endpoint: number;
        /** Term of the endpoint when it committed the write. */
        readonly term: number;
        /** Whether another endpoint already had been promoted to a higher term then. */
        readonly isSuperseded: boolean;
        /** Endpoints that were queried after the answer and do not lead. */
        readonly queried: readonly boolean[];
    };
}
