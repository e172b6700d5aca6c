import type { LogPosition } from "../../statements/types/LogPosition.js";
import { primaryConstants } from "../constants.js";
import type { PositionEvidence } from "../types/PositionEvidence.js";

/** Log position in one answer of a primary. */
interface Evidence {
    readonly requestedAt: number;
    readonly position: LogPosition;
}

/**
 * Creates the record of the primaries' log positions over time.
 *
 * The position in an answer includes every commit that was acknowledged before the request was sent. Of the positions
 * that are recent enough, the oldest requires the least progress of a replica. A newer term drops the evidence of older
 * terms.
 *
 * @returns The record, empty.
 *
 * @example
 * evidence.record("orders", requestedAt, { term: 3, entry: 1207 });
 * evidence.coveringPosition("orders", clock.now() - 1_500);
 */
export function createPositionEvidence(): PositionEvidence {
    const evidenceByGroup = new Map<string, Evidence[]>();

    function record(group: string, requestedAt: number, position: LogPosition): void {
        const known = evidenceByGroup.get(group) ?? [];
        const newest = known.at(-1);
        if (newest !== undefined && position.term < newest.position.term) {
            return;
        }
        const kept = newest !== undefined && position.term > newest.position.term ? [] : known;
        const isClose =
            requestedAt - (kept.at(-1)?.requestedAt ?? -Infinity) < primaryConstants.evidenceSpacingMilliseconds;
        if (isClose) {
            return;
        }
        kept.push({ requestedAt, position });
        if (kept.length > primaryConstants.maximumEvidencePerGroup) {
            kept.shift();
        }
        evidenceByGroup.set(group, kept);
    }

    return {
        record,
        coveringPosition: (group, moment) =>
            evidenceByGroup.get(group)?.find(evidence => evidence.requestedAt >= moment)?.position,
        newestRequestedAt: group => evidenceByGroup.get(group)?.at(-1)?.requestedAt,
    };
}
