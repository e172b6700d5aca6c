import type { Clock } from "../../clock/types/Clock.js";
import { compareStoreVersions } from "../../directory/compareStoreVersions/index.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { StoreFreshness } from "../../directory/types/StoreFreshness.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { QuotaExchange } from "../../quotas/types/QuotaExchange.js";
import type { QuotaGrants } from "../../quotas/types/QuotaGrants.js";
import { applyDirectoryUpdate } from "../applyDirectoryUpdate/index.js";
import { compareHolderNumbers } from "../compareHolderNumbers/index.js";
import { dutyConstants } from "../constants.js";
import type { createAnnouncements } from "../createAnnouncements/index.js";
import type { Announcement } from "../types/Announcement.js";
import type { DirectoryUpdate } from "../types/DirectoryUpdate.js";
import type { RelayedMembers } from "../types/RelayedMembers.js";
import type { Renewal } from "../types/Renewal.js";
import type { RenewalAnswer } from "../types/RenewalAnswer.js";
import type { ReportedVersions } from "../types/ReportedVersions.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmList } from "../types/VmList.js";

/** Options of `createRenewalExchange`. */
interface RenewalExchangeOptions {
    readonly clock: Clock;
    /** This VM. */
    readonly self: VmIdentity;
    readonly directory: Directory;
    /** Freshness of the directory. */
    readonly freshness: StoreFreshness;
    readonly vms: VmList;
    /** The VMs whose renewals this VM answers as a relay. */
    readonly members: RelayedMembers;
    /** What VMs reported of their directories while this VM is the holder. */
    readonly reports: Pick<ReportedVersions, "record">;
    readonly announcements: ReturnType<typeof createAnnouncements>;
    readonly quotas?: QuotaExchange;
    readonly log: LogTopic;
}

/** Versions of the directory that a VM has. */
type KnownVersions = Pick<DirectoryUpdate, "routingVersion" | "endpointVersion">;

/** State of the failover duty that a VM reports when it answers a renewal. */
type HolderState = Pick<RenewalAnswer, "isHolder" | "isCertain" | "holder"> & {
    /** Whether the VM is the holder, and no other VM can have become it; it may not know the primaries yet. */
    readonly isOnly?: boolean;
    readonly holderAgeMilliseconds: number | undefined;
};

/** State of the failover duty that a VM reports in a renewal. */
type SenderState = Pick<Renewal, "isHost" | "isLeaving" | "hasHeardHolder"> & {
    /** Token of the holder known to the VM. */
    readonly token: number;
};

/** State that VMs send each other with each renewal. Each side sends only what the other lacks. */
interface RenewalExchange {
    /** Creates the next renewal that this VM sends to another one. */
    createRenewal(target: VmIdentity, state: SenderState): Renewal;
    /** Applies the answer to a renewal that was sent at `sentAt`. */
    applyAnswer(renewal: Renewal, answer: RenewalAnswer, sentAt: number): void;
    /** Applies another VM's renewal and creates the answer to it. */
    answer(renewal: Renewal, state: HolderState): RenewalAnswer;
    /** Whether this VM's list has the VMs of all zones, not only of its own. */
    hasVmsOfAllZones(): boolean;
}

/**
 * Creates the exchange of state that is part of the renewals: routing table, endpoints, VMs and announcements. It keeps
 * a VM up to date that does not read the store.
 *
 * @param options This VM and its state.
 * @returns The exchange.
 *
 * @example
 * const renewal = exchange.createRenewal(holder, state);
 * exchange.applyAnswer(renewal, await peerOf(holder).renew(renewal), sentAt);
 */
export function createRenewalExchange(options: RenewalExchangeOptions): RenewalExchange {
    const { clock, self, directory, freshness, vms, members, reports, announcements, quotas } = options;
    /** Versions that the last answering VM reported; only versions are sent before its first answer. */
    let answerer: { readonly incarnation: string; readonly versions: KnownVersions; } | undefined;
    let target: VmIdentity | undefined;
    let hasVmsOfAllZones = false;

    function createRenewal(nextTarget: VmIdentity, { token, ...state }: SenderState): Renewal {
        target = nextTarget;
        const isKnown = answerer?.incarnation === nextTarget.incarnation;
        const unreported = state.isHost ? members.listUnreported(token) : undefined;
        const membersVersion = members.findCommonVersion();
        const quotaDemands = quotas?.createDemands();
        return {
            ...createUpdate(isKnown ? answerer!.versions : undefined),
            ...state,
            vm: self,
            // A list of one zone is no start for the changes of all zones.
            vmListVersion: state.isHost && !hasVmsOfAllZones ? dutyConstants.noHolderNumber : vms.version(),
            announcementSequence: announcements.completeSequence(),
            ...unreported === undefined ? {} : { members: unreported },
            ...membersVersion === undefined ? {} : { membersVersion },
            ...quotaDemands === undefined ? {} : { quotaDemands },
        };
    }

    /** Creates an update with the state that another VM lacks, or with versions only while its versions are unknown. */
    function createUpdate(known: KnownVersions | undefined): DirectoryUpdate {
        const versions = { routingVersion: directory.routingVersion(), endpointVersion: directory.highestVersion() };
        if (known === undefined) {
            return versions;
        }
        const lacksRoutes = versions.routingVersion > known.routingVersion;
        const lacksEndpoints = compareStoreVersions(versions.endpointVersion, known.endpointVersion) > 0;
        return {
            ...versions,
            ...lacksRoutes ? { routingTable: directory.routingTable() } : {},
            ...lacksEndpoints ? { endpoints: directory.records(), removals: directory.removals() } : {},
            newsAgeMilliseconds: Math.round(freshness.ageMilliseconds()),
        };
    }

    function applyAnswer(renewal: Renewal, answer: RenewalAnswer, sentAt: number): void {
        const { routingVersion, endpointVersion } = answer;
        answerer = { incarnation: target?.incarnation ?? "", versions: { routingVersion, endpointVersion } };
        applyDirectoryUpdate(directory, answer);
        if (answer.newsAgeMilliseconds !== undefined) {
            freshness.applyAge(answer.newsAgeMilliseconds, sentAt);
        }
        if (answer.isHolder && renewal.members !== undefined) {
            members.confirm(answer.holder?.token ?? 0);
        }
        applyVmList(renewal, answer);
        announcements.applyAnswer(answer.announcements);
        if (answer.quotaGrants !== undefined) {
            quotas?.applyGrants(answer.quotaGrants);
        }
    }

    function applyVmList(renewal: Renewal, { vmList }: RenewalAnswer): void {
        vms.refresh();
        if (vmList !== undefined && !vms.applyUpdate(vmList)) {
            options.log("older list of VMs ignored", {
                from: target?.name,
                version: vmList.version,
                known: vms.version(),
            });
            return;
        }
        hasVmsOfAllZones = renewal.isHost && (hasVmsOfAllZones || vmList?.isSnapshot === true);
    }

    function answer(renewal: Renewal, { isOnly, holderAgeMilliseconds, ...state }: HolderState): RenewalAnswer {
        applyDirectoryUpdate(directory, renewal);
        if (renewal.newsAgeMilliseconds !== undefined) {
            freshness.applyAge(renewal.newsAgeMilliseconds + dutyConstants.callTimeoutMilliseconds, clock.now());
        }
        recordSender(renewal, state.isHolder);
        const vmList = vms.createUpdate(
            renewal.vmListVersion,
            renewal.isHost ? undefined : renewal.vm.address.availabilityZone,
        );
        const quotaGrants = isOnly === true ? grantQuotas(renewal) : undefined;
        return {
            ...state,
            ...createUpdate(renewal),
            ...holderAgeMilliseconds === undefined ? {} : { holderAgeMilliseconds },
            ...vmList === undefined ? {} : { vmList },
            announcements: listAnnouncements(renewal, state),
            ...quotaGrants === undefined ? {} : { quotaGrants },
        };
    }

    /** Grants do not depend on the primaries, so the holder makes them also before it grants leases. */
    function grantQuotas({ vm, quotaDemands }: Renewal): QuotaGrants | undefined {
        quotas?.recordRenewal(vm.name, quotaDemands !== undefined);
        return quotaDemands && quotas?.answerDemands(vm, quotaDemands);
    }

    /** A relay sends nothing beyond what it has completely: the sender would count an announcement it lacks as known. */
    function listAnnouncements(
        { announcementSequence }: Renewal,
        { isHolder }: Pick<HolderState, "isHolder">,
    ): readonly Announcement[] {
        const unknown = announcements.listAfter(announcementSequence);
        const limit = announcements.completeSequence();
        return isHolder ? unknown : unknown.filter(({ sequence }) => compareHolderNumbers(sequence, limit) <= 0);
    }

    function recordSender(renewal: Renewal, isHolder: boolean): void {
        const { vm, isLeaving, hasHeardHolder } = renewal;
        if (isLeaving) {
            members.remove(vm.name);
        }
        if (!isHolder) {
            if (!isLeaving) {
                members.recordContact(vm, renewal.endpointVersion);
            }
            return;
        }
        reports.record(vm, renewal.endpointVersion, renewal.membersVersion);
        vms.recordContact(self, true);
        if (isLeaving) {
            vms.remove(vm.name);
            return;
        }
        vms.recordContact(vm, hasHeardHolder);
        vms.recordMembers(vm.name, renewal.members);
    }

    return { createRenewal, applyAnswer, answer, hasVmsOfAllZones: () => hasVmsOfAllZones };
}
