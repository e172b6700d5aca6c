import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { Duty } from "../../duty/types/Duty.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { orderStepDown } from "../orderStepDown/index.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/** Options of `createPrimaryConflictHandler`. */
interface PrimaryConflictHandlerOptions {
    readonly directory: Directory;
    readonly duty: Duty;
    readonly control: EndpointControl;
    readonly log: LogTopic;
}

/** An endpoint that claims to be the primary, and its term. */
interface Claim {
    readonly endpoint: EndpointRecord;
    readonly term: number;
}

/**
 * Creates the handler of primary conflicts: several endpoints claim to be the primary of a group, and no remaining VM
 * received the announcement of the last change. The endpoint with the highest term stays the primary; the others are
 * ordered to step down.
 *
 * @param options The directory, the duty, control and log.
 * @returns Handles the conflict in one group; fails when no claimant answers.
 *
 * @example
 * await handlePrimaryConflict("orders");
 */
export function createPrimaryConflictHandler(options: PrimaryConflictHandlerOptions): (group: string) => Promise<void> {
    const { directory, duty, control, log } = options;

    async function queryClaim(endpoint: EndpointRecord): Promise<Claim | undefined> {
        try {
            const status = await readEndpointStatus(control, endpoint.id);
            return status?.isPrimary === true ? { endpoint, term: status.term } : undefined;
        }
        catch (error) {
            log("claimant of the primary role did not answer", {
                endpoint: endpoint.id,
                reason: (error as Error).message,
            });
            return undefined;
        }
    }

    async function orderClaimantToStepDown(endpoint: EndpointRecord, term: number): Promise<void> {
        try {
            await orderStepDown(control, endpoint.id, term);
        }
        catch (error) {
            log("claimant of the primary role did not step down", {
                endpoint: endpoint.id,
                term,
                reason: (error as Error).message,
            });
        }
    }

    return async group => {
        const claimants = directory.endpointsOf(group).filter(endpoint => endpoint.isPrimary);
        const claims = (await Promise.all(claimants.map(queryClaim))).filter(claim => claim !== undefined);
        const winner = claims.sort((left, right) => right.term - left.term)[0];
        if (winner === undefined) {
            throw createError(ErrorKind.Unreachable, `No endpoint of ${group} claims to be the primary.`, {
                remedy: "The endpoints are queried again.",
            });
        }
        const { endpoint: { id }, term } = winner;
        log("primary conflict is decided by the highest term", {
            group,
            endpoint: id,
            term,
            claimants: claimants.map(claimant => claimant.id),
        });
        await Promise.all(
            claimants.filter(claimant => claimant.id !== id).map(claimant => orderClaimantToStepDown(claimant, term)),
        );
        await duty.announce({ group, phase: AnnouncementPhase.Finished, term, endpointId: id });
    };
}
