import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { applyAnnouncement } from "../../duty/applyAnnouncement/index.js";
import type { Announcement } from "../../duty/types/Announcement.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { createPrimaryChange } from "../../promotions/createPrimaryChange/index.js";
import { createPrimaryConflictHandler } from "../../promotions/createPrimaryConflictHandler/index.js";
import { createPromotionCoordinator } from "../../promotions/createPromotionCoordinator/index.js";
import type { EndpointControl } from "../../promotions/types/EndpointControl.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { createEndpointRecord } from "../createEndpointRecord/index.js";
import { createManualClock } from "../createManualClock/index.js";
import { createPopulatedDirectory } from "../createPopulatedDirectory/index.js";

/** Options of `createPromotionSite`. */
interface PromotionSiteOptions {
    /** Executes an order to promote an endpoint. */
    readonly promote: (endpointId: string, makePrimary: () => void) => Promise<void>;
}

const group = "orders";

/**
 * Creates the holder of the failover duty with one group of three endpoints in memory, for tests of its changes.
 *
 * @param options How the platform treats orders to promote.
 * @returns The coordinator, the known primaries, the announcements, and the endpoint that leads.
 *
 * @example
 * const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
 */
export function createPromotionSite(options: PromotionSiteOptions) {
    const clock = createManualClock();
    const records = ["i-1", "i-2", "i-3"].map(id => createEndpointRecord({ id, isPrimary: id === "i-1" }));
    const directory = createPopulatedDirectory(clock, records);
    const primaries = createPrimaries(clock, directory, () => {});
    const announcements: Announcement[] = [];
    const orderedIds: string[] = [];
    const unreachableIds = new Set<string>();
    let leader = { id: "i-1", term: 1 };
    let revision = 100;

    function register(id: string, changes: Partial<EndpointRecord>): void {
        revision += 1;
        const item = { ...directory.endpoint(id)!, ...changes, revision };
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: id, revision, item }] });
    }

    function makePrimary(id: string): void {
        register(leader.id, { isPrimary: false });
        leader = { id, term: leader.term + 1 };
        register(id, { isPrimary: true });
    }

    async function run({ endpointId, statements }: EndpointCommand): Promise<readonly StatementAnswer[]> {
        if (unreachableIds.has(endpointId)) {
            throw new Error("no answer in time");
        }
        const isPrimary = leader.id === endpointId;
        const received = { term: leader.term, entry: 7 };
        return statements.map(({ kind }) => ({
            rows: [],
            state: SessionState.Idle,
            position: received,
            failure: kind === OutgoingKind.Begin && !isPrimary
                ? { code: FailureCode.ReadOnly, description: "" }
                : undefined,
            replicaStatus: { isPrimary, term: leader.term, received, lagMilliseconds: 0, busyCount: 0 },
        })) as unknown as readonly StatementAnswer[];
    }

    const duty = {
        heldToken: () => 1,
        verify: async () => 1,
        waitForLeases: async () => {},
        announce: async (announcement: Omit<Announcement, "sequence">) => {
            const numbered = { ...announcement, sequence: announcements.length + 1 };
            announcements.push(numbered);
            applyAnnouncement(primaries, numbered);
            return [];
        },
    } as unknown as Duty;
    const control: EndpointControl = { run, runFromAnyVm: run };
    const end = new AbortController();
    const shared = { clock, directory, duty, control, log: () => {} };
    const changePrimary = createPrimaryChange({
        ...shared,
        signal: end.signal,
        orders: {
            promote: async ({ endpointId }) => {
                orderedIds.push(endpointId);
                await options.promote(endpointId, () => makePrimary(endpointId));
            },
            stop: async () => {},
        },
        vmName: "vm-1",
        regionsByZone: {},
        termOf: primaries.termOf,
    });
    const coordinator = createPromotionCoordinator({
        ...shared,
        end,
        primaries,
        probe: async id => !unreachableIds.has(id),
        connectedVms: () => [],
        peerOf: () => {
            throw new Error("no other VM is known");
        },
        changePrimary,
        handlePrimaryConflict: createPrimaryConflictHandler(shared),
        metrics: { countPrimaryChange: () => {} },
    });
    return {
        clock,
        group,
        primaries,
        coordinator,
        changePrimary,
        orderedIds,
        unreachableIds,
        register,
        primary: () => directory.endpoint(leader.id)!,
        phases: (): readonly AnnouncementPhase[] => announcements.map(({ phase }) => phase),
    };
}
