import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import { applyAnnouncement } from "../../duty/applyAnnouncement/index.js";
import type { Announcement } from "../../duty/types/Announcement.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { createGroupMembers } from "../../promotions/createGroupMembers/index.js";
import { createPrimaryChange } from "../../promotions/createPrimaryChange/index.js";
import { createPrimaryDecision } from "../../promotions/createPrimaryDecision/index.js";
import { createPromotionCoordinator } from "../../promotions/createPromotionCoordinator/index.js";
import type { EndpointControl } from "../../promotions/types/EndpointControl.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { createEndpointRecord } from "../createEndpointRecord/index.js";
import { createManualClock } from "../createManualClock/index.js";
import { createMemoryRecords } from "../createMemoryRecords/index.js";
import { createPopulatedDirectory } from "../createPopulatedDirectory/index.js";

/** Options of `createPromotionSite`. */
interface PromotionSiteOptions {
    /** Executes an order to promote an endpoint. */
    readonly promote: (endpointId: string, makePrimary: () => void) => Promise<void>;
    /** Term of the group at the start, which the holder has not observed; 1 when left out. */
    readonly term?: number;
    /** Number of synchronous replicas of the group; none when left out. */
    readonly synchronousReplicas?: number;
    /** Whether the holder has just replaced another one. */
    readonly isNewHolder?: boolean;
    /** The platform's store, which another site may have used before. */
    readonly records?: RecordStore;
    /** Ids of endpoints that are lost before this site starts. */
    readonly lostIds?: readonly string[];
}

/** An endpoint in memory. */
interface SiteEndpoint {
    isPrimary: boolean;
    term: number;
    /** Number of the last entry in its log. */
    entry?: number;
}

const group = "orders";
const endpointIds = ["i-1", "i-2", "i-3"];
/** Statements for which an endpoint needs a slot. */
const slotKinds: ReadonlySet<OutgoingKind> = new Set([OutgoingKind.ReadStatus, OutgoingKind.StepDown]);

/**
 * Creates the holder of the failover duty with one group of three endpoints in memory, for tests of its changes.
 *
 * @param options How the platform treats orders to promote.
 * @returns The coordinator, the known primaries, the announcements, and the endpoints.
 *
 * @example
 * const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
 */
export function createPromotionSite(options: PromotionSiteOptions) {
    const clock = createManualClock();
    const endpointRecords = endpointIds.filter(id => options.lostIds?.includes(id) !== true).map(id =>
        createEndpointRecord({ id, isPrimary: id === "i-1" })
    );
    const endpoints = new Map<string, SiteEndpoint>(
        endpointIds.map(id => [id, { isPrimary: id === "i-1", term: options.term ?? 1 }]),
    );
    const directory = createPopulatedDirectory(clock, endpointRecords, options.synchronousReplicas);
    const primaries = createPrimaries(clock, directory, () => {});
    const announcements: Announcement[] = [];
    const orderedIds: string[] = [];
    /** Endpoints that no VM reaches. */
    const unreachableIds = new Set<string>();
    /** Endpoints that some VM without a lease does not know. */
    const unknownIds = new Set<string>();
    /** Endpoints that refuse what needs a slot. */
    const busyIds = new Set<string>();
    /** Endpoints that do not hear of a promotion. */
    const isolatedIds = new Set<string>();
    let isGranting = options.isNewHolder !== true;
    let revision = 100;

    function register(id: string, changes: Partial<EndpointRecord>): void {
        revision += 1;
        const item = { ...directory.endpoint(id)!, ...changes, revision };
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: id, era: 0, revision, item }] });
    }

    /** Removes the record of an endpoint that no VM reaches any more. */
    function lose(id: string): void {
        revision += 1;
        unreachableIds.add(id);
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: id, era: 0, revision, item: undefined }] });
    }

    function setRole(id: string, role: SiteEndpoint): void {
        endpoints.set(id, role);
        register(id, { isPrimary: role.isPrimary });
    }

    function makePrimary(id: string): void {
        const term = 1 + Math.max(...[...endpoints.values()].map(endpoint => endpoint.term));
        setRole(id, { isPrimary: true, term });
        endpointIds
            .filter(other => other !== id && !isolatedIds.has(other))
            .forEach(other => setRole(other, { isPrimary: false, term }));
    }

    function findPrimaryId(): string {
        return endpointIds
            .filter(id => endpoints.get(id)!.isPrimary)
            .sort((left, right) => endpoints.get(right)!.term - endpoints.get(left)!.term)[0]!;
    }

    function execute(endpointId: string, statement: OutgoingStatement): StatementAnswer {
        const { isPrimary, term, entry = 7 } = endpoints.get(endpointId)!;
        if (busyIds.has(endpointId) && slotKinds.has(statement.kind)) {
            return { rows: [], state: SessionState.Idle, failure: { code: FailureCode.Busy, description: "" } };
        }
        if (statement.kind === OutgoingKind.StepDown && isPrimary && term < statement.term) {
            setRole(endpointId, { isPrimary: false, term });
        }
        const isRefused = statement.kind === OutgoingKind.Begin && !isPrimary;
        const received = { term, entry };
        return {
            rows: [],
            state: SessionState.Idle,
            position: received,
            ...isRefused ? { failure: { code: FailureCode.ReadOnly, description: "" } } : {},
            replicaStatus: {
                isPrimary: endpoints.get(endpointId)!.isPrimary,
                term,
                received,
                heldTerm: 0,
                lagMilliseconds: 0,
                busySlots: 0,
                connections: 0,
            },
        };
    }

    async function run({ endpointId, statements }: EndpointCommand): Promise<readonly StatementAnswer[]> {
        if (unreachableIds.has(endpointId)) {
            throw new Error("no answer in time");
        }
        return statements.map(statement => execute(endpointId, statement));
    }

    const duty = {
        heldToken: () => 1,
        verify: async () => 1,
        isGranting: () => isGranting,
        startGranting: () => {
            isGranting = true;
        },
        waitForFormerOrders: async () => {},
        waitForLeases: async () => {},
        announce: async (announcement: Omit<Announcement, "sequence">) => {
            const numbered = { ...announcement, sequence: { token: 1, count: announcements.length + 1 } };
            announcements.push(numbered);
            applyAnnouncement(primaries, numbered);
            return [];
        },
    } as unknown as Duty;
    const control: EndpointControl = { run, runFromAnyVm: run };
    const end = new AbortController();
    const shared = { clock, directory, duty, control, log: () => {} };
    const records = options.records ?? createMemoryRecords();
    const members = createGroupMembers({ ...shared, primaries, records, heldToken: duty.heldToken });
    const sharedEndpoints = {
        isKnownToAll: ({ id }: { readonly id: string; }) => !unknownIds.has(id),
        update: () => {},
    };
    const changePrimary = createPrimaryChange({
        ...shared,
        members,
        sharedEndpoints,
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
        primaries,
    });
    const coordinator = createPromotionCoordinator({
        ...shared,
        members,
        sharedEndpoints,
        end,
        primaries,
        probe: async id => !unreachableIds.has(id),
        connectedVms: () => [],
        peerOf: () => {
            throw new Error("no other VM is known");
        },
        changePrimary,
        decidePrimary: createPrimaryDecision({ ...shared, termOf: primaries.termOf }),
        metrics: { countPrimaryChange: () => {} },
    });
    return {
        clock,
        group,
        duty,
        primaries,
        coordinator,
        changePrimary,
        orderedIds,
        unreachableIds,
        unknownIds,
        isolatedIds,
        busyIds,
        endpoints,
        makePrimary,
        register,
        lose,
        primary: () => directory.endpoint(findPrimaryId())!,
        isGranting: () => isGranting,
        announcements: (): readonly Announcement[] => announcements,
        phases: (): readonly AnnouncementPhase[] => announcements.map(({ phase }) => phase),
    };
}
