import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import type { FenceAnswer } from "../../../endpoints/types/FenceAnswer.js";
import { createNotifier } from "../../createNotifier/index.js";
import { createRefusal } from "../createRefusal/index.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { LogEntry } from "../types/LogEntry.js";
import type { TermState } from "../types/TermState.js";

type FollowTarget = NonNullable<ReturnType<TermState["followTarget"]>>;

/**
 * Creates the role and terms of an endpoint: detached, at term 0.
 *
 * Calls with a term below the fenced term, the highest one received, are refused. A replica serves a term only once it
 * holds the whole log that the primary had when it was promoted, so that its answer to a fence covers everything
 * acknowledged before.
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
    let followTarget: FollowTarget | undefined;
    let requiredPosition = Infinity;

    function createWrongTermError(description: string): Error {
        return createRefusal(EndpointRefusal.WrongTerm, description, {
            term: Math.max(term, fencedTerm),
            position: log.position(),
        });
    }

    function setRole(newRole: EndpointRole, newTerm: number, newFollowTarget?: FollowTarget): void {
        role = newRole;
        term = newTerm;
        followTarget = newFollowTarget;
        requiredPosition = Infinity;
        notify();
    }

    function requireNotLower(requestedTerm: number): void {
        if (!Number.isInteger(requestedTerm) || requestedTerm < 1) {
            throw createRefusal(
                EndpointRefusal.StatementInvalid,
                `Term ${requestedTerm} is not a positive whole number.`,
            );
        }
        if (requestedTerm < fencedTerm) {
            throw createWrongTermError(`Endpoint ${endpoint} is fenced at term ${fencedTerm}, above ${requestedTerm}.`);
        }
    }

    function requireServing(requestedTerm: number, needsPrimary: boolean): void {
        if (term === 0 || requestedTerm !== term) {
            throw createWrongTermError(`Endpoint ${endpoint} serves under term ${term}, not ${requestedTerm}.`);
        }
        if (needsPrimary && role !== EndpointRole.Primary) {
            throw createRefusal(EndpointRefusal.NotPrimary, `Endpoint ${endpoint} is a replica of term ${term}.`, {
                term,
                position: log.position(),
            });
        }
    }

    function fence(requestedTerm: number): FenceAnswer {
        requireNotLower(requestedTerm);
        if (requestedTerm > fencedTerm) {
            fencedTerm = requestedTerm;
            setRole(EndpointRole.Detached, 0);
        }
        return { endpoint, lastEntryTerm: log.lastEntryTerm(), position: log.position() };
    }

    function promote(requestedTerm: number): void {
        requireNotLower(requestedTerm);
        if (role === EndpointRole.Primary && term === requestedTerm) {
            return;
        }
        if (role !== EndpointRole.Detached || fencedTerm !== requestedTerm) {
            throw createWrongTermError(
                `Endpoint ${endpoint} was not fenced at term ${requestedTerm}, or follows another primary of it.`,
            );
        }
        startPosition = log.position();
        setRole(EndpointRole.Primary, requestedTerm);
    }

    function follow(requestedTerm: number, primary: string): void {
        requireNotLower(requestedTerm);
        if (primary === endpoint) {
            throw createRefusal(EndpointRefusal.StatementInvalid, `Endpoint ${endpoint} cannot follow itself.`);
        }
        if (role === EndpointRole.Primary && term === requestedTerm) {
            throw createWrongTermError(`Endpoint ${endpoint} is the primary of term ${requestedTerm}.`);
        }
        if (followTarget?.term === requestedTerm && followTarget.primary === primary) {
            return;
        }
        fencedTerm = requestedTerm;
        setRole(EndpointRole.Replica, 0, { term: requestedTerm, primary });
    }

    function serveTermOnceLogIsWhole(): void {
        if (followTarget !== undefined && term !== followTarget.term && log.position() >= requiredPosition) {
            term = followTarget.term;
            notify();
        }
    }

    function synchronize(source: FollowTarget, commonPosition: number, primaryStartPosition: number): void {
        if (source === followTarget) {
            log.truncate(commonPosition);
            requiredPosition = primaryStartPosition;
            serveTermOnceLogIsWhole();
        }
    }

    function copyEntries(source: FollowTarget, entries: readonly LogEntry[]): void {
        if (source === followTarget) {
            log.appendCopiedEntries(entries);
            serveTermOnceLogIsWhole();
        }
    }

    return {
        role: () => role,
        term: () => term,
        fencedTerm: () => fencedTerm,
        startPosition: () => startPosition,
        followTarget: () => followTarget,
        requireServing,
        fence,
        promote,
        follow,
        synchronize,
        copyEntries,
        restart: () => setRole(EndpointRole.Detached, 0),
        onChange,
    };
}
