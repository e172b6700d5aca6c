import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { ReplicaStatus } from "../../statements/types/ReplicaStatus.js";
import { orderStepDown } from "../orderStepDown/index.js";
import { queryEndpointRole } from "../queryEndpointRole/index.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { EndpointControl } from "../types/EndpointControl.js";
import { PrimaryDecision } from "../types/PrimaryDecision.js";

/** Options of `createPrimaryDecision`. */
interface PrimaryDecisionOptions {
    readonly directory: Directory;
    readonly duty: Duty;
    readonly control: EndpointControl;
    /** Highest term known in a group. */
    readonly termOf: (group: string) => number;
    readonly log: LogTopic;
}

/** What an endpoint says of its role. */
type Claim = Pick<ReplicaStatus, "isPrimary" | "term">;

/** An endpoint that claims to be the primary, and its term. */
interface Claimant {
    readonly endpoint: EndpointRecord;
    readonly term: number;
}

/**
 * Creates the decision which endpoint of a group is the primary, for when several claim to be it or the end of a change is
 * unknown.
 *
 * The endpoint with the highest term is the primary if no other endpoint can lead in a higher one: all others answered,
 * and nobody knows a higher term. The other claimants are ordered to step down, and the primary is announced.
 *
 * @param options The directory, the duty, control, known terms and log.
 * @returns Decides the primary of one group.
 *
 * @example
 * const decision = await decidePrimary("orders");
 */
export function createPrimaryDecision(options: PrimaryDecisionOptions): (group: string) => Promise<PrimaryDecision> {
    const { directory, duty, control, log } = options;

    /** Queries the role of an endpoint; one that has no slot for its status still tells whether it is a replica. */
    async function queryClaim({ id }: EndpointRecord): Promise<Claim | undefined> {
        try {
            const status = await readEndpointStatus(control, id);
            if (status !== undefined) {
                return status;
            }
            const { isPrimary, position } = await queryEndpointRole(control.runFromAnyVm, id);
            return isPrimary === false ? { isPrimary, term: position?.term ?? 0 } : undefined;
        }
        catch (error) {
            log("endpoint did not answer which endpoint is the primary", {
                endpoint: id,
                reason: (error as Error).message,
            });
            return undefined;
        }
    }

    async function orderClaimantToStepDown({ endpoint }: Claimant, term: number): Promise<void> {
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
        const token = duty.heldToken();
        await duty.waitForFormerOrders();
        const endpoints = directory.endpointsOf(group);
        const claims = await Promise.all(endpoints.map(queryClaim));
        const claimants: Claimant[] = endpoints.flatMap((endpoint, index) =>
            claims[index]?.isPrimary === true ? [{ endpoint, term: claims[index].term }] : []
        );
        const [winner, ...losers] = claimants.sort((left, right) => right.term - left.term);
        const unresponsive = endpoints.filter((_endpoint, index) => claims[index] === undefined).map(({ id }) => id);
        const highestTerm = Math.max(options.termOf(group), ...claims.map(claim => claim?.term ?? 0));
        const inputs = {
            group,
            endpoint: winner?.endpoint.id,
            term: winner?.term,
            highestTerm,
            claimants: claimants.map(({ endpoint }) => endpoint.id),
            unresponsive,
        };
        if (winner === undefined || token === undefined) {
            log("no endpoint claims to be the primary", inputs);
            return PrimaryDecision.NoPrimary;
        }
        const { endpoint: { id }, term } = winner;
        if (unresponsive.length > 0 || term < highestTerm) {
            log("another endpoint than the claimant may be the primary", inputs);
            return PrimaryDecision.Undecided;
        }
        log("primary is decided by the highest term", inputs);
        await Promise.all(losers.map(loser => orderClaimantToStepDown(loser, term)));
        await duty.announce({ group, phase: AnnouncementPhase.Finished, term, endpointId: id }, token);
        return PrimaryDecision.Decided;
    };
}
