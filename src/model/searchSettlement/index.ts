import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import { listSettlementSteps } from "../listSettlementSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import { SettlementPhase } from "../types/SettlementPhase.js";
import type { SettlementRules } from "../types/SettlementRules.js";
import type { SettlementScope } from "../types/SettlementScope.js";
import type { SettlementState } from "../types/SettlementState.js";
import { WritePhase } from "../types/WritePhase.js";

const replica = { isPrimary: false, term: 1, isOrdered: false, isListed: true };
const firstAnnouncement = { sequence: 0, phase: AnnouncementPhase.Finished, endpoint: 0, term: 1 };

function createInitialState(scope: SettlementScope): SettlementState {
    return {
        scope,
        endpoints: [{ ...replica, isPrimary: true }, replica, replica],
        phase: SettlementPhase.Serving,
        changes: 0,
        successor: 0,
        termBeforeOrder: 0,
        isOrderAnswered: false,
        hasUnknownEnd: false,
        announcement: firstAnnouncement,
        received: firstAnnouncement,
        hasLease: false,
        write: WritePhase.Waiting,
        writeEndpoint: 0,
        writeTerm: 0,
    };
}

/**
 * Searches every interleaving of changes of the primary whose ends may be unknown for a write that is acknowledged
 * although a superseded endpoint committed it.
 *
 * @param rules The rules of the settlement.
 * @param scope What the search covers.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchSettlement(rules, { changes: 2, mayLoseRecord: false }).violation; // => undefined
 */
export function searchSettlement(rules: SettlementRules, scope: SettlementScope): ReturnType<typeof searchStates> {
    return searchStates({
        initialState: createInitialState(scope),
        listSteps: state => listSettlementSteps(state, rules),
        isViolation: ({ write }) => write === WritePhase.Acknowledged,
    });
}
