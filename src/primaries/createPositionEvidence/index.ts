import type { LogPosition } from "../../statements/types/LogPosition.js";
import { primaryConstants } from "../constants.js";
import type { PositionEvidence } from "../types/PositionEvidence.js";

/** One answer of a primary. */
interface Evidence {
    readonly askedAt: number;
    readonly position: LogPosition;
}

/**
 * Creates the record of how far the primaries' logs reached.
 *
 * The position in an answer includes every commit that was acknowledged before the question was sent. The oldest
 * position that is new enough asks least of a replica. Evidence of an older term is dropped when a newer one begins.
 *
 * @returns The record, empty.
 *
 * @example
 * evidence.note("orders", askedAt, { term: 3, entry: 1207 });
 * evidence.coveringPosition("orders", clock.now() - 1_500);
 */
export function createPositionEvidence(): PositionEvidence {
    const evidenceByGroup = new Map<string, Evidence[]>();

    function note(group: string, askedAt: number, position: LogPosition): void {
        const known = evidenceByGroup.get(group) ?? [];
        const newest = known.at(-1);
        if (newest !== undefined && position.term < newest.position.term) {
            return;
        }
        const kept = newest !== undefined && position.term > newest.position.term ? [] : known;
        const isClose = askedAt - (kept.at(-1)?.askedAt ?? -Infinity) < primaryConstants.evidenceSpacingMilliseconds;
        if (isClose) {
            return;
        }
        kept.push({ askedAt, position });
        if (kept.length > primaryConstants.rememberedEvidence) {
            kept.shift();
        }
        evidenceByGroup.set(group, kept);
    }

    return {
        note,
        coveringPosition: (group, moment) =>
            evidenceByGroup.get(group)?.find(evidence => evidence.askedAt >= moment)?.position,
        newestAskedAt: group => evidenceByGroup.get(group)?.at(-1)?.askedAt,
    };
}
