import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import type { EndpointProbe } from "./EndpointProbe.js";
import type { FailoverDependencies } from "./FailoverDependencies.js";

/** One group as its coordinator works on it. */
export interface CoordinatedGroup {
    readonly database: string;
    readonly majority: number;
    readonly probes: ReadonlyMap<string, EndpointProbe>;
    readonly dependencies: FailoverDependencies;
    /** The recorded term, as far as this gateway knows. */
    record(): GroupRecord | undefined;
    /** Tells all gateways of a term whose marker is confirmed. */
    publish(record: GroupRecord): void;
    /** Highest term that was recorded, seen in a status or named by a refusal. */
    highestTerm(): number;
    /** Takes a reserved term above all known ones; undefined when none is held. */
    takeTerm(): number | undefined;
    /** Keeps a term with which endpoints were fenced but none was asked to be promoted, for the next attempt. */
    returnTerm(term: number): void;
    /** Leaves the group to a coordinator that used a higher term, for a short random time. */
    standBack(higherTerm: number): void;
    isStandingBack(): boolean;
    /** Says why no primary can be promoted now; the same text only once. */
    reportWaiting(text: string): void;
    activity(): string;
}
