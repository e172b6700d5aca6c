import type { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import type { FenceAnswer } from "../../../endpoints/types/FenceAnswer.js";
import type { LogEntry } from "./LogEntry.js";

/** Role and terms of an endpoint, with the rules for changing them. */
export interface TermState {
    role(): EndpointRole;
    /** The term that the endpoint serves; 0 while it serves none. */
    term(): number;
    fencedTerm(): number;
    /** Position that the log had when this endpoint was promoted. */
    startPosition(): number;
    /** The primary that a replica was ordered to follow; the same object until the next order. */
    followTarget(): FollowTarget | undefined;
    /** Throws unless the endpoint serves exactly this term and, if `needsPrimary` is true, is its primary. */
    requireServing(term: number, needsPrimary: boolean): void;
    fence(term: number): FenceAnswer;
    promote(term: number): void;
    follow(term: number, primary: string): void;
    /** Truncates the log to the part in common with the primary's. Ignored if the target is no longer followed. */
    synchronize(followTarget: FollowTarget, commonPosition: number, startPosition: number): void;
    /** Appends entries of the primary. Ignored if the target is no longer followed. */
    copyEntries(followTarget: FollowTarget, entries: readonly LogEntry[]): void;
    /** Clears the role, as a restart does; the log and the fenced term are kept. */
    restart(): void;
    onChange(listener: () => void): () => void;
}

/** A primary that a replica was ordered to follow. */
interface FollowTarget {
    readonly term: number;
    readonly primary: string;
}
