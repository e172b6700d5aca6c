import type { Clock } from "../../clock/types/Clock.js";
import { findDatabaseEndpoint } from "../../configuration/findDatabaseEndpoint/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import { admissionConstants } from "../constants.js";
import { createAdmissionQueue } from "../createAdmissionQueue/index.js";
import type { Admission } from "../types/Admission.js";
import type { AdmissionQueue } from "../types/AdmissionQueue.js";

/** Options of `createAdmission`. */
interface AdmissionOptions {
    readonly clock: Clock;
    readonly configuration: ConfigurationService;
    readonly topology: TopologyService;
    readonly membership: MembershipService;
    /** False grants every request a slot at once; true by default. */
    readonly isLimiting?: boolean;
}

/**
 * Creates the admission queues of one gateway.
 *
 * The owner of an endpoint uses all its slots. Any other gateway uses a fixed small number of them.
 *
 * @param options Services that provide limits and owners.
 * @returns The admission service.
 *
 * @example
 * const slot = await admission.queueOf("stock", "stock-1").acquire(request);
 */
export function createAdmission(options: AdmissionOptions): Admission {
    const { clock, configuration, topology, membership } = options;
    const queues = new Map<string, AdmissionQueue>();

    function countSlots(database: string, endpoint: string): number {
        const slots = findDatabaseEndpoint(configuration.current().content, database, endpoint)?.slots ?? 0;
        const isOwner = topology.ownersOf(endpoint)[0]?.name === membership.self.name;
        return isOwner ? slots : Math.min(slots, admissionConstants.slotsOfNonOwner);
    }

    function queueOf(database: string, endpoint: string): AdmissionQueue {
        const existing = queues.get(endpoint);
        if (existing !== undefined) {
            return existing;
        }
        const queue = createAdmissionQueue({
            clock,
            endpoint,
            slots: () => countSlots(database, endpoint),
            queueLength: () => configuration.current().content.limits.queueLengthPerEndpoint,
            isLimiting: options.isLimiting ?? true,
        });
        queues.set(endpoint, queue);
        return queue;
    }

    function refuseWaiting(): void {
        for (const queue of queues.values()) {
            queue.refuseWaiting();
        }
    }

    return { queueOf, refuseWaiting };
}
