import { listTokenSteps } from "../listTokenSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import type { TokenSource } from "../types/TokenSource.js";
import type { TokenState } from "../types/TokenState.js";

const noRecord = { number: 0, revision: 0 };

/**
 * Searches every interleaving of takeovers, late writes and restores of the store from a copy for an order that carries
 * the fencing token of another VM, or a lower one than the order before.
 *
 * @param source What a holder takes its token from.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchTokens(TokenSource.Version).violation; // => undefined
 */
export function searchTokens(source: TokenSource): ReturnType<typeof searchStates> {
    return searchStates<TokenState>({
        initialState: {
            era: 1,
            revision: 0,
            record: noRecord,
            copy: { record: noRecord, revision: 0 },
            writes: [undefined, undefined],
            lastOrder: { token: 0, holder: 0 },
            isViolated: false,
        },
        listSteps: state => listTokenSteps(state, source),
        isViolation: ({ isViolated }) => isViolated,
    });
}
