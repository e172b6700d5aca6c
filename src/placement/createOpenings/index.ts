import type { Clock } from "../../clock/types/Clock.js";
import { placementConstants } from "../constants.js";
import { isWorkspaceOwner } from "../isWorkspaceOwner/index.js";
import type { OpeningInProgress } from "../types/OpeningInProgress.js";
import type { OpeningWish } from "../types/OpeningWish.js";

/** The connections of a pool that are being opened. */
interface Openings {
    /** Records that an opening begins. */
    begin(wish: OpeningWish): OpeningInProgress;
    /** Records that an opening ended, with or without a connection. */
    end(opening: OpeningInProgress): void;
    list(): readonly OpeningInProgress[];
    countOf(owner: string): number;
    /** Counts the openings whose statements need no other endpoint yet; without an owner, those of all owners. */
    countExpected(owner: string | undefined): number;
}

/**
 * Creates the record of a pool's connections that are being opened.
 *
 * @param clock Source of time.
 * @param onSlow Called when an opening in a workspace's name takes long: its statements may then use other endpoints.
 * @returns The record, empty.
 *
 * @example
 * const opening = openings.begin({ owner: "museum-shops", priority: 1 });
 */
export function createOpenings(clock: Clock, onSlow: () => void): Openings {
    const { slowOpeningMilliseconds } = placementConstants;
    const cancels = new Map<OpeningInProgress, () => void>();

    function begin(wish: OpeningWish): OpeningInProgress {
        const opening = { ...wish, startedAt: clock.now() };
        cancels.set(
            opening,
            isWorkspaceOwner(wish.owner) ? clock.startTimer(slowOpeningMilliseconds, onSlow) : () => {},
        );
        return opening;
    }

    function end(opening: OpeningInProgress): void {
        cancels.get(opening)?.();
        cancels.delete(opening);
    }

    function countOf(owner: string): number {
        return [...cancels.keys()].filter(opening => opening.owner === owner).length;
    }

    function countExpected(owner: string | undefined): number {
        const slowSince = clock.now() - slowOpeningMilliseconds;
        return [...cancels.keys()].filter(opening =>
            (owner === undefined || opening.owner === owner)
            && (!isWorkspaceOwner(opening.owner) || opening.startedAt > slowSince)
        ).length;
    }

    return { begin, end, list: () => [...cancels.keys()], countOf, countExpected };
}
