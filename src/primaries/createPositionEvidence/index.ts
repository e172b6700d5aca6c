import type { LogPosition } from "../../statements/types/LogPosition.js";
import { primaryConstants } from "../constants.js";
import type { PositionEvidence } from "../types/PositionEvidence.js";

/** Log position in one answer of a primary. */
interface Evidence {
    /** Returns the time since the request was sent, in milliseconds. */
    readonly sinceRequest: () => number;
    readonly position: LogPosition;
}

/**
 * Creates the record of the primaries' log positions over time.
 *
 * The position in an answer includes every commit that was acknowledged before the request was sent. Of the positions
 * that are recent enough, the oldest requires the least progress of a replica. A newer term drops the evidence of older
 * terms. Ages are measured by elapsed timers, which count a suspension of the VM.
 *
 * @returns The record, empty.
 *
 * @example
 * evidence.record("orders", sinceRequest, { term: 3, entry: 1207 });
 * evidence.coveringPosition("orders", 1_500);
 */
export function createPositionEvidence(): PositionEvidence {
    const evidenceByGroup = new Map<string, Evidence[]>();

    function record(group: string, sinceRequest: () => number, position: LogPosition): void {
        const known = evidenceByGroup.get(group) ?? [];
        const newest = known.at(-1);
        if (newest !== undefined && position.term < newest.position.term) {
            return;
        }
        const kept = newest !== undefined && position.term > newest.position.term ? [] : known;
        const newestAge = kept.at(-1)?.sinceRequest() ?? Infinity;
        if (newestAge - sinceRequest() < primaryConstants.evidenceSpacingMilliseconds) {
            return;
        }
        kept.push({ sinceRequest, position });
        if (kept.length > primaryConstants.maximumEvidencePerGroup) {
            kept.shift();
        }
        evidenceByGroup.set(group, kept);
    }

    return {
        record,
        coveringPosition: (group, maximumAgeMilliseconds) =>
            evidenceByGroup.get(group)?.find(evidence => evidence.sinceRequest() <= maximumAgeMilliseconds)?.position,
        newestAge: group => evidenceByGroup.get(group)?.at(-1)?.sinceRequest(),
    };
}
