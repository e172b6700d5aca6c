import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { CallerUnit } from "../../soak/types/CallerUnit.js";
import type { SoakHistory } from "../../soak/types/SoakHistory.js";
import { UnitOutcome } from "../../soak/types/UnitOutcome.js";
import { workspaceConstants } from "../../workspaces/constants.js";

/**
 * Creates a history of a soak for tests in which every guarantee holds: one session wrote an item and read it.
 *
 * @param changes Fields that differ from those of that history.
 * @param readChanges Fields that differ in the unit that reads.
 * @returns The history.
 *
 * @example
 * const violations = [...findLostWrites(createSoakHistory({ log: [] }))];
 */
export function createSoakHistory(
    changes: Partial<SoakHistory> = {},
    readChanges: Partial<CallerUnit> = {},
): SoakHistory {
    const writeUnit: CallerUnit = {
        session: "s1",
        vm: 0,
        guarantee: ReadGuarantee.Primary,
        startedAt: 1_000,
        endedAt: 1_020,
        outcome: UnitOutcome.Acknowledged,
        ids: ["w1"],
        writeIds: ["w1"],
        reads: [],
        signatures: { w1: "i-1.w1" },
        slowestMilliseconds: 20,
    };
    const readUnit: CallerUnit = {
        ...writeUnit,
        startedAt: 1_100,
        endedAt: 1_110,
        ids: ["r1"],
        writeIds: [],
        reads: [{ id: "r1", item: "item1", data: "new" }],
        signatures: { r1: "i-1.r1" },
        ...readChanges,
    };
    const values = { session: "s1" };
    return {
        units: [writeUnit, readUnit],
        unansweredStatements: [],
        executedStatements: ["w1", "r1"].map(id => ({
            id,
            endpointId: "i-1",
            connection: 1,
            owner: workspaceConstants.anonymousOwner,
            isInTransaction: false,
            values,
        })),
        log: [
            { position: { term: 1, entry: 1 }, ids: ["w0"], items: { item1: "old" } },
            { position: { term: 1, entry: 2 }, ids: ["w1"], items: { item1: "new" } },
        ],
        discardedEntries: [],
        endpointFaults: [],
        lateSpans: [],
        faultSpans: [],
        ...changes,
    };
}
