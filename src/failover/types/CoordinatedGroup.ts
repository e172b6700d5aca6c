import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import type { EndpointProbe } from "./EndpointProbe.js";
import type { FailoverDependencies } from "./FailoverDependencies.js";

/** State and operations that a coordinator keeps for one group. */
export interface CoordinatedGroup {
    readonly database: string;
    readonly majority: number;
    readonly probes: ReadonlyMap<string, EndpointProbe>;
    readonly dependencies: FailoverDependencies;
    /** The group record known to this gateway. */
    record(): GroupRecord | undefined;
    /** Publishes the record of a term whose marker is confirmed to all gateways. */
    publish(record: GroupRecord): void;
    /** Highest term that was recorded, seen in a status or named by a refusal. */
    highestTerm(): number;
    /** Allocates a reserved term above all known terms; undefined when none is held. */
    allocateTerm(): number | undefined;
    /** Keeps a term for the next attempt when endpoints were fenced at it but no promotion was requested. */
    returnTerm(term: number): void;
    /** Backs off for a short random time, so that the coordinator that used the higher term can finish. */
    backOff(higherTerm: number): void;
    isBackingOff(): boolean;
    /** Records an event with the reason why no primary can be promoted now; a repeated text is recorded once. */
    reportWaiting(text: string): void;
    activity(): string;
}
