import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import type { FenceAnswer } from "../../../endpoints/types/FenceAnswer.js";
import { createNotifier } from "../../createNotifier/index.js";
import { createRefusal } from "../createRefusal/index.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { LogEntry } from "../types/LogEntry.js";
import type { TermState } from "../types/TermState.js";

type Following = NonNullable<ReturnType<TermState["following"]>>;

/**
 * Creates the role and terms of an endpoint: detached, at term 0.
 *
 * A lower term than the highest one shown is refused. A replica serves a term only once it holds the whole log that
 * the primary had when it was promoted, so that its answer to a fence speaks for everything acknowledged before.
 *
 * @param endpoint Name of the endpoint.
 * @param log The endpoint's log.
 * @returns The term state.
 *
 * @example
 * terms.fence(4);
 * terms.promote(4);
 */
export function createTermState(endpoint: string, log: EndpointLog): TermState {
    const { notify, onChange } = createNotifier();
    let role = EndpointRole.Detached;
    let term = 0;
    let fencedTerm = 0;
    let startPosition = 0;
    let following: Following | undefined;
    let requiredPosition = Infinity;

    function wrongTerm(description: string): Error {
        return createRefusal(EndpointRefusal.WrongTerm, description, {
            term: Math.max(term, fencedTerm),
            position: log.position(),
        });
    }

    function become(newRole: EndpointRole, newTerm: number, newFollowing?: Following): void {
        role = newRole;
        term = newTerm;
        following = newFollowing;
        requiredPosition = Infinity;
        notify();
    }

    function requireNotLower(asked: number): void {
        if (!Number.isInteger(asked) || asked < 1) {
            throw createRefusal(EndpointRefusal.StatementInvalid, `Term ${asked} is not a positive whole number.`);
        }
        if (asked < fencedTerm) {
            throw wrongTerm(`Endpoint ${endpoint} was shown term ${fencedTerm}, above ${asked}.`);
        }
    }

    function requireServing(asked: number, needsPrimary: boolean): void {
        if (term === 0 || asked !== term) {
            throw wrongTerm(`Endpoint ${endpoint} serves under term ${term}, not ${asked}.`);
        }
        if (needsPrimary && role !== EndpointRole.Primary) {
            throw createRefusal(EndpointRefusal.NotPrimary, `Endpoint ${endpoint} is a replica of term ${term}.`, {
                term,
                position: log.position(),
            });
        }
    }

    function fence(asked: number): FenceAnswer {
        requireNotLower(asked);
        if (asked > fencedTerm) {
            fencedTerm = asked;
            become(EndpointRole.Detached, 0);
        }
        return { endpoint, lastEntryTerm: log.lastEntryTerm(), position: log.position() };
    }

    function promote(asked: number): void {
        requireNotLower(asked);
        if (role === EndpointRole.Primary && term === asked) {
            return;
        }
        if (role !== EndpointRole.Detached || fencedTerm !== asked) {
            throw wrongTerm(`Endpoint ${endpoint} was not fenced at term ${asked}, or follows another primary of it.`);
        }
        startPosition = log.position();
        become(EndpointRole.Primary, asked);
    }

    function follow(asked: number, primary: string): void {
        requireNotLower(asked);
        if (primary === endpoint) {
            throw createRefusal(EndpointRefusal.StatementInvalid, `Endpoint ${endpoint} cannot follow itself.`);
        }
        if (role === EndpointRole.Primary && term === asked) {
            throw wrongTerm(`Endpoint ${endpoint} is the primary of term ${asked}.`);
        }
        if (following?.term === asked && following.primary === primary) {
            return;
        }
        fencedTerm = asked;
        become(EndpointRole.Replica, 0, { term: asked, primary });
    }

    function serveOnceWhole(): void {
        if (following !== undefined && term !== following.term && log.position() >= requiredPosition) {
            term = following.term;
            notify();
        }
    }

    function synchronize(current: Following, commonPosition: number, primaryStart: number): void {
        if (current === following) {
            log.truncate(commonPosition);
            requiredPosition = primaryStart;
            serveOnceWhole();
        }
    }

    function copyEntries(current: Following, entries: readonly LogEntry[]): void {
        if (current === following) {
            log.copy(entries);
            serveOnceWhole();
        }
    }

    return {
        role: () => role,
        term: () => term,
        fencedTerm: () => fencedTerm,
        startPosition: () => startPosition,
        following: () => following,
        requireServing,
        fence,
        promote,
        follow,
        synchronize,
        copyEntries,
        restart: () => become(EndpointRole.Detached, 0),
        onChange,
    };
}
