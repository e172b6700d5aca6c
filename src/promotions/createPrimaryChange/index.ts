import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { comparePositions } from "../../statements/comparePositions/index.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { chooseSuccessor } from "../chooseSuccessor/index.js";
import { promotionConstants } from "../constants.js";
import { isPrimaryAnswering } from "../isPrimaryAnswering/index.js";
import { orderStepDown } from "../orderStepDown/index.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { CandidateStatus } from "../types/CandidateStatus.js";
import { ChangeReason } from "../types/ChangeReason.js";
import type { EndpointControl } from "../types/EndpointControl.js";
import type { PromotionOrders } from "../types/PromotionOrders.js";

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
    /** Highest term that was seen in a group. */
    readonly termOf: (group: string) => number;
    /** Ends what goes on in the background. */
    readonly signal: AbortSignal;
    readonly log: LogTopic;
}

/** Changes the primary of a group. */
type PrimaryChange = (group: string, present: EndpointRecord | undefined, reason: ChangeReason) => Promise<void>;

/**
 * Creates the change of a group's primary, as the holder of the failover duty makes it.
 *
 * All VMs are told first, so that nothing more is sent to the present primary; it steps down, if any VM reaches it, so
 * that it takes no write after the successor leads; the successor receives the end of the log; then it is promoted and
 * all VMs are told. A change that fails is taken back.
 *
 * @param options Clock, what is known, and how to speak with VMs, endpoints and the platform.
 * @returns Changes the primary of one group; fails when that was not possible.
 *
 * @example
 * await changePrimary("orders", primary, ChangeReason.Leaving);
 */
export function createPrimaryChange(options: PrimaryChangeOptions): PrimaryChange {
    const { clock, directory, duty, control, orders, log } = options;

    return async (group, present, reason) => {
        const term = options.termOf(group) + 1;
        const startedAt = clock.now();
        log("changes the primary", { group, from: present?.id, reason, term });
        const unconfirmedVms = await duty.announce({ group, phase: AnnouncementPhase.Begun, term });
        try {
            const successor = await change({ group, present, reason, term, unconfirmedVms });
            await duty.announce({ group, phase: AnnouncementPhase.Finished, term, endpointId: successor.id });
            const tookMilliseconds = Math.round(clock.now() - startedAt);
            log("changed the primary", { group, from: present?.id, to: successor.id, term, tookMilliseconds });
        }
        catch (error) {
            await duty.announce({ group, phase: AnnouncementPhase.Cancelled, term });
            throw error;
        }
    };

    /** One change that is under way. */
    interface Change {
        readonly group: string;
        readonly present: EndpointRecord | undefined;
        readonly reason: ChangeReason;
        readonly term: number;
        /** VMs that may still send to the present primary. */
        readonly unconfirmedVms: readonly VmIdentity[];
    }

    async function change(ordered: Change): Promise<EndpointRecord> {
        const { group, present, term } = ordered;
        const end = await stepDown(ordered);
        if (end === undefined && present !== undefined) {
            void stepDownLater(present, term);
        }
        await duty.waitForLeases(ordered.unconfirmedVms);
        const successor = await findSuccessor(ordered, end);
        log("successor", { group, endpoint: successor.endpoint.id, received: successor.status.received, end });
        await promote(group, successor.endpoint);
        await waitUntilLeading(successor.endpoint);
        return successor.endpoint;
    }

    /** Has the present primary step down; returns the end of its log, or undefined when no VM reaches it. */
    async function stepDown({ group, present, reason, term }: Change): Promise<LogPosition | undefined> {
        if (present === undefined || reason === ChangeReason.Unreachable) {
            // Nobody reaches it at present; it is told as soon as somebody does.
            return undefined;
        }
        if (reason === ChangeReason.Leaving) {
            await clock.sleep(promotionConstants.drainMilliseconds);
        }
        try {
            const answer = await orderStepDown(control, present.id, term);
            log("present primary stepped down", {
                group,
                endpoint: present.id,
                status: answer?.replicaStatus,
                failure: answer?.failure,
            });
            return answer?.replicaStatus?.received ?? answer?.position;
        }
        catch (error) {
            log("present primary is out of reach", { group, endpoint: present.id, reason: (error as Error).message });
            return undefined;
        }
    }

    async function stepDownLater(present: EndpointRecord, term: number): Promise<void> {
        const until = clock.now() + promotionConstants.stepDownMilliseconds;
        while (clock.now() < until && !options.signal.aborted) {
            await clock.sleep(promotionConstants.stepDownPauseMilliseconds, options.signal);
            try {
                await orderStepDown(control, present.id, term);
                log("superseded primary stepped down", { endpoint: present.id, term });
                return;
            }
            catch {
                // It is out of reach still; the log tells when it was reached, or that it never was.
            }
        }
        log("superseded primary was never reached", { endpoint: present.id, term });
    }

    /** Waits until a successor holds the end of the log, if that is known and does not take too long. */
    async function findSuccessor(ordered: Change, end: LogPosition | undefined): Promise<CandidateStatus> {
        const until = clock.now() + promotionConstants.catchUpMilliseconds;
        for (;;) {
            const best = await readBest(ordered);
            const holdsAll = best !== undefined
                && (end === undefined || comparePositions(best.status.received, end) >= 0);
            if (best !== undefined && (holdsAll || clock.now() >= until)) {
                return best;
            }
            if (clock.now() >= until) {
                throw createError(ErrorKind.Unreachable, `No endpoint of ${ordered.group} can be promoted.`, {
                    remedy: "Start another endpoint of the group.",
                });
            }
            await clock.sleep(promotionConstants.pollMilliseconds);
        }
    }

    async function readBest({ group, present }: Change): Promise<CandidateStatus | undefined> {
        const others = directory.endpointsOf(group).filter(endpoint => endpoint.id !== present?.id);
        const staying = others.filter(endpoint => !endpoint.isLeaving);
        const statuses = await Promise.all(staying.map(readStatus));
        return chooseSuccessor(statuses.filter(candidate => candidate !== undefined), {
            replicas: others.length,
            synchronousReplicas: directory.groupSettings(group)?.synchronousReplicas ?? 0,
            preferredRegion: present && options.regionsByZone[present.address.availabilityZone],
            regionsByZone: options.regionsByZone,
        });
    }

    async function readStatus(endpoint: EndpointRecord): Promise<CandidateStatus | undefined> {
        const status = await readEndpointStatus(control, endpoint.id).catch((error: unknown) => {
            log("candidate did not answer", { endpoint: endpoint.id, reason: (error as Error).message });
            return undefined;
        });
        return status && { endpoint, status };
    }

    async function promote(group: string, { id: endpointId }: EndpointRecord): Promise<void> {
        const askedAt = clock.now();
        const fencingToken = await duty.verify();
        if (fencingToken === undefined || clock.now() - askedAt > promotionConstants.verifiedMilliseconds) {
            throw createError(ErrorKind.Conflict, "It is not sure that this VM holds the failover duty.", {
                remedy: "The change is tried again, by the VM that holds it.",
            });
        }
        log("orders the promotion", { group, endpoint: endpointId, fencingToken });
        await orders.promote({ group, endpointId, holderName: options.vmName, fencingToken });
    }

    async function waitUntilLeading({ id }: EndpointRecord): Promise<void> {
        const until = clock.now() + promotionConstants.takeoverMilliseconds;
        while (clock.now() < until) {
            await clock.sleep(promotionConstants.pollMilliseconds);
            const isLeading = await isPrimaryAnswering(control.runFromAnywhere, id).catch(() => false);
            if (isLeading) {
                return;
            }
        }
        throw createError(ErrorKind.DeadlineExceeded, `Endpoint ${id} does not lead although it was promoted.`, {
            remedy: "The change is tried again.",
        });
    }
}
