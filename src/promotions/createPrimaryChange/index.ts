import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { promotionConstants } from "../constants.js";
import { createSuccessorSearch } from "../createSuccessorSearch/index.js";
import { orderStepDown } from "../orderStepDown/index.js";
import { orderStepDownAboveTerm } from "../orderStepDownAboveTerm/index.js";
import { ChangeReason } from "../types/ChangeReason.js";
import type { EndpointControl } from "../types/EndpointControl.js";
import type { GroupMembers } from "../types/GroupMembers.js";
import type { PromotionOrders } from "../types/PromotionOrders.js";
import type { SharedEndpoints } from "../types/SharedEndpoints.js";
import { waitForPromotion } from "../waitForPromotion/index.js";

/** Options of `createPrimaryChange`. */
interface PrimaryChangeOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly duty: Duty;
    readonly control: EndpointControl;
    readonly orders: PromotionOrders;
    /** Name of this VM. */
    readonly vmName: string;
    readonly regionsByZone: Readonly<Record<string, string>>;
    readonly members: Pick<GroupMembers, "countOf">;
    readonly sharedEndpoints: Pick<SharedEndpoints, "isKnownToAll">;
    /** The primaries known to this VM. */
    readonly primaries: Pick<Primaries, "isChangeUnfinished" | "isOnNewestBranch" | "recordPosition" | "termOf">;
    /** Ends background tasks. */
    readonly signal: AbortSignal;
    readonly log: LogTopic;
}

/** Changes the primary of a group. */
type PrimaryChange = (group: string, currentPrimary: EndpointRecord | undefined, reason: ChangeReason) => Promise<void>;

/**
 * Creates the change of a group's primary by the holder of the failover duty. It begins once an endpoint can succeed.
 *
 * 1. The change is announced to all VMs, so that they send nothing more to the current primary.
 * 2. The current primary steps down, if any VM can reach it, so that it accepts no write once the successor is primary.
 * 3. The successor receives the end of the log, is promoted, and is announced to all VMs.
 *
 * The announcement of a change that fails is cancelled, unless the promotion may have been ordered: it may then take
 * effect later, so the change stays unfinished until the coordinator settles it.
 *
 * @param options Clock, known state, and the clients of VMs, endpoints and the platform.
 * @returns Changes the primary of one group; fails when that is not possible.
 *
 * @example
 * await changePrimary("orders", primary, ChangeReason.Leaving);
 */
export function createPrimaryChange(options: PrimaryChangeOptions): PrimaryChange {
    const { clock, directory, duty, control, orders, primaries, log } = options;
    const successors = createSuccessorSearch(options);

    return async (group, currentPrimary, reason) => {
        await successors.require({ group, currentPrimary });
        const term = primaries.termOf(group) + 1;
        // The order of an earlier change, also of a previous holder, may still take effect.
        const isOrdered = primaries.isChangeUnfinished(group) || !duty.isGranting();
        const startedAt = clock.now();
        log("change of the primary starts", { group, from: currentPrimary?.id, reason, term });
        const token = heldToken();
        const unconfirmedVms = await duty.announce({ group, phase: AnnouncementPhase.Begun, term }, token);
        const change: Change = { group, currentPrimary, reason, term, token, unconfirmedVms, isOrdered };
        try {
            const promoted = await changePrimary(change);
            await duty.announce({ group, phase: AnnouncementPhase.Finished, ...promoted }, token);
            const tookMilliseconds = Math.round(clock.now() - startedAt);
            log("change of the primary is complete", {
                group,
                from: currentPrimary?.id,
                to: promoted.endpointId,
                term: promoted.term,
                tookMilliseconds,
            });
        }
        catch (error) {
            if (change.isOrdered || duty.heldToken() !== token) {
                log("end of the change of the primary is unknown; no lease vouches for a primary until it is settled", {
                    group,
                    term,
                });
            }
            else {
                await duty.announce({ group, phase: AnnouncementPhase.Cancelled, term }, token);
            }
            throw error;
        }
    };

    function heldToken(): number {
        const token = duty.heldToken();
        if (token === undefined) {
            throw createError(ErrorKind.Conflict, "This VM does not hold the failover duty.", {
                remedy: "The holder changes the primary.",
            });
        }
        return token;
    }

    /** A change in progress. */
    interface Change {
        readonly group: string;
        readonly currentPrimary: EndpointRecord | undefined;
        readonly reason: ChangeReason;
        /** Expected term: one above the highest that this VM has observed, which may be below the endpoints' own. */
        readonly term: number;
        /** Token with which the change was begun. */
        readonly token: number;
        /** VMs that may still send to the current primary. */
        readonly unconfirmedVms: readonly VmIdentity[];
        /** Whether an order to promote, of this change or an earlier one, may take effect at any moment. */
        isOrdered: boolean;
    }

    /** The endpoint that a change made the primary, and the term in which it leads by its own account. */
    interface PromotedEndpoint {
        readonly endpointId: string;
        readonly term: number;
    }

    async function changePrimary(change: Change): Promise<PromotedEndpoint> {
        const { group } = change;
        const logEnd = await stepDown(change);
        await duty.waitForLeases(change.unconfirmedVms);
        const successor = await successors.find({ group, currentPrimary: change.currentPrimary, logEnd });
        log("successor is chosen", {
            group,
            endpoint: successor.endpoint.id,
            received: successor.status.received,
            logEnd,
        });
        const isAnswered = await promote(change, successor.endpoint);
        const term = await waitForPromotion(successor, { clock, control, isAnswered });
        if (logEnd === undefined) {
            listOtherPrimaries(change, successor.endpoint).forEach(other => void stepDownInBackground(other, term));
        }
        return { endpointId: successor.endpoint.id, term };
    }

    /** Orders the current primary to step down; returns the end of its log, or undefined when no VM can reach it. */
    async function stepDown({ group, currentPrimary, reason, term }: Change): Promise<LogPosition | undefined> {
        if (currentPrimary === undefined || reason === ChangeReason.Unreachable) {
            // No VM can reach the primary now; it is ordered to step down after the promotion, as soon as one can.
            return undefined;
        }
        if (reason === ChangeReason.Leaving) {
            await clock.sleep(promotionConstants.drainMilliseconds);
        }
        try {
            const answer = await orderStepDownAboveTerm(control, currentPrimary.id, term);
            log("current primary answered the order to step down", {
                group,
                endpoint: currentPrimary.id,
                term,
                status: answer.replicaStatus,
                failure: answer.failure,
            });
            if (answer.replicaStatus?.isPrimary !== false) {
                return undefined;
            }
            primaries.recordPosition(currentPrimary, answer.replicaStatus.received);
            return answer.replicaStatus.received;
        }
        catch (error) {
            log("current primary is unreachable", {
                group,
                endpoint: currentPrimary.id,
                reason: (error as Error).message,
            });
            return undefined;
        }
    }

    /** Lists the endpoints that may still act as the primary beside the successor. */
    function listOtherPrimaries({ group, currentPrimary }: Change, successor: EndpointRecord): EndpointRecord[] {
        return directory.endpointsOf(group)
            .filter(({ id, isPrimary }) => id !== successor.id && (isPrimary || id === currentPrimary?.id));
    }

    /** Orders a superseded primary to step down as soon as it answers, unless it leads in a newer term by then. */
    async function stepDownInBackground({ id }: EndpointRecord, term: number): Promise<void> {
        const deadline = clock.now() + promotionConstants.stepDownMilliseconds;
        while (clock.now() < deadline && !options.signal.aborted) {
            await clock.sleep(promotionConstants.stepDownPauseMilliseconds, options.signal);
            // It may still be unreachable; a log line reports when it answered, or that it never did.
            const answer = await orderStepDown(control, id, term).catch(() => undefined);
            const status = answer?.replicaStatus;
            if (answer !== undefined && status !== undefined && (!status.isPrimary || status.term > term)) {
                log("superseded primary answered the order to step down", {
                    endpoint: id,
                    term,
                    status: answer.replicaStatus,
                });
                return;
            }
        }
        log("superseded primary did not answer the order to step down", { endpoint: id, term });
    }

    /** Orders the promotion; returns whether the order was answered. */
    async function promote(change: Change, { id: endpointId }: EndpointRecord): Promise<boolean> {
        const { group } = change;
        const sinceVerification = startElapsedTimer(clock);
        const fencingToken = await duty.verify();
        if (fencingToken !== change.token || sinceVerification() > promotionConstants.maximumVerificationMilliseconds) {
            throw createError(ErrorKind.Conflict, "This VM could not verify in time that it holds the failover duty.", {
                remedy: "The holder attempts the change again.",
            });
        }
        log("orders the promotion", { group, endpoint: endpointId, fencingToken });
        const wasOrdered = change.isOrdered;
        change.isOrdered = true;
        try {
            await orders.promote({ group, endpointId, holderName: options.vmName, fencingToken });
            return true;
        }
        catch (error) {
            const { kind, message } = toTypedError(error);
            if (kind !== ErrorKind.OutcomeUnknown) {
                change.isOrdered = wasOrdered;
                throw error;
            }
            log("answer to the order to promote was lost; the successor is watched", {
                group,
                endpoint: endpointId,
                reason: message,
            });
            return false;
        }
    }
}
