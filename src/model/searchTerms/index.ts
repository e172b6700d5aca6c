import { listTermSteps } from "../listTermSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import { ChangePhase } from "../types/ChangePhase.js";
import { TermFault } from "../types/TermFault.js";
import type { TermRules } from "../types/TermRules.js";
import type { TermScope } from "../types/TermScope.js";
import type { TermState } from "../types/TermState.js";
import { WritePhase } from "../types/WritePhase.js";

const noAnnouncement = { sequence: 0, endpoint: undefined, term: 0 };

function createInitialState(scope: TermScope): TermState {
    const replica = { isPrimary: false, term: scope.firstTerm, holdsWrite: false };
    return {
        scope,
        endpoints: [{ ...replica, isPrimary: true }, replica, replica],
        holder: {
            phase: ChangePhase.Serving,
            knownTerm: 0,
            primary: 0,
            successor: 0,
            derivedTerm: 0,
            isAnswered: false,
            mustCopyWrite: false,
            announcement: noAnnouncement,
        },
        vm: {
            hasLease: false,
            knownTerm: 0,
            announcement: noAnnouncement,
            registered: [true, false, false],
            listed: [true, true, true],
        },
        write: {
            phase: WritePhase.Waiting,
            endpoint: 0,
            term: 0,
            isSuperseded: false,
            queried: [false, false, false],
        },
    };
}

function hasFault({ write, holder, endpoints }: TermState, fault: TermFault): boolean {
    if (write.phase !== WritePhase.Acknowledged) {
        return false;
    }
    if (fault === TermFault.Superseded) {
        return write.isSuperseded;
    }
    return holder.phase === ChangePhase.Promoted && holder.isAnswered && write.endpoint === holder.primary
        && !write.isSuperseded && !endpoints[holder.successor]!.holdsWrite;
}

/**
 * Searches every interleaving of changes of the primary whose terms the holder, the endpoints and a VM know differently
 * for a fault.
 *
 * @param rules The rules of the terms.
 * @param scope What the search covers.
 * @param fault The fault to look for.
 * @returns The number of visited states, and the steps to the fault if there is one.
 *
 * @example
 * searchTerms(rules, { changes: 1, mayLoseRecord: true, firstTerm: 2 }, TermFault.Superseded).violation; // => undefined
 */
export function searchTerms(rules: TermRules, scope: TermScope, fault: TermFault): ReturnType<typeof searchStates> {
    return searchStates({
        initialState: createInitialState(scope),
        listSteps: state => listTermSteps(state, rules),
        isViolation: state => hasFault(state, fault),
    });
}
