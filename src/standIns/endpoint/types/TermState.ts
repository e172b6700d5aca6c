import type { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import type { FenceAnswer } from "../../../endpoints/types/FenceAnswer.js";
import type { LogEntry } from "./LogEntry.js";

/** Role and terms of an endpoint, with the rules for changing them. */
export interface TermState {
    role(): EndpointRole;
    /** The term served under; 0 while none is. */
    term(): number;
    fencedTerm(): number;
    /** Position that the log had when this endpoint was promoted. */
    startPosition(): number;
    /** What a replica was told to follow; the same object until it is told otherwise. */
    following(): Following | undefined;
    /** Throws unless the endpoint serves under exactly this term, and is its primary when one is needed. */
    requireServing(term: number, needsPrimary: boolean): void;
    fence(term: number): FenceAnswer;
    promote(term: number): void;
    follow(term: number, primary: string): void;
    /** Takes the primary's greeting: cuts the log to what both hold. Ignored when no longer following. */
    synchronize(following: Following, commonPosition: number, startPosition: number): void;
    /** Takes in entries of the primary. Ignored when no longer following. */
    copyEntries(following: Following, entries: readonly LogEntry[]): void;
    /** Forgets the role, as a restart does; the log and the highest term shown are kept. */
    restart(): void;
    onChange(listener: () => void): () => void;
}

/** A primary that a replica was told to follow. */
interface Following {
    readonly term: number;
    readonly primary: string;
}
