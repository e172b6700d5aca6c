import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { StoreFreshness } from "../../directory/types/StoreFreshness.js";
import { applyDirectoryUpdate } from "../applyDirectoryUpdate/index.js";
import { dutyConstants } from "../constants.js";
import type { createAnnouncements } from "../createAnnouncements/index.js";
import type { createVmList } from "../createVmList/index.js";
import type { DirectoryUpdate } from "../types/DirectoryUpdate.js";
import type { Renewal } from "../types/Renewal.js";
import type { RenewalAnswer } from "../types/RenewalAnswer.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** Options of `createRenewalExchange`. */
interface RenewalExchangeOptions {
    readonly clock: Clock;
    /** This VM. */
    readonly self: VmIdentity;
    readonly directory: Directory;
    /** Freshness of the directory. */
    readonly freshness: StoreFreshness;
    readonly vms: ReturnType<typeof createVmList>;
    readonly announcements: ReturnType<typeof createAnnouncements>;
}

/** Versions of the directory that a VM has. */
type KnownVersions = Pick<DirectoryUpdate, "routingVersion" | "endpointRevision">;

/** State of the failover duty that a VM reports when it answers a renewal. */
type HolderState = Pick<RenewalAnswer, "isHolder" | "isCertain" | "token">;

/** State that VMs send each other with each renewal. Each side sends only what the other lacks. */
interface RenewalExchange {
    /** Creates the next renewal that this VM sends to the holder. */
    createRenewal(hasHeardHolder: boolean): Renewal;
    /** Applies the holder's answer to a renewal that was sent at `sentAt`. */
    applyAnswer(answer: RenewalAnswer, sentAt: number): void;
    /** Applies another VM's renewal and creates the answer to it. */
    answer(renewal: Renewal, state: HolderState): RenewalAnswer;
}

/**
 * Creates the exchange of state that is part of the renewals: routing table, endpoints, VMs and announcements. It keeps
 * a VM up to date that cannot read the store.
 *
 * @param options This VM and its state.
 * @returns The exchange.
 *
 * @example
 * exchange.applyAnswer(await peer.renew(exchange.createRenewal(true)), sentAt);
 */
export function createRenewalExchange(options: RenewalExchangeOptions): RenewalExchange {
    const { clock, self, directory, freshness, vms, announcements } = options;
    /** Versions that the holder last reported; only versions are sent before its first answer. */
    let holderVersions: KnownVersions | undefined;

    function createRenewal(hasHeardHolder: boolean): Renewal {
        return {
            ...createUpdate(holderVersions),
            vm: self,
            hasHeardHolder,
            vmListVersion: vms.version(),
            announcementSequence: announcements.latestSequence(),
        };
    }

    /** Creates an update with the state that another VM lacks, or with versions only while its versions are unknown. */
    function createUpdate(known: KnownVersions | undefined): DirectoryUpdate {
        const versions = { routingVersion: directory.routingVersion(), endpointRevision: directory.highestRevision() };
        if (known === undefined) {
            return versions;
        }
        const lacksRoutes = versions.routingVersion > known.routingVersion;
        const lacksEndpoints = versions.endpointRevision > known.endpointRevision;
        return {
            ...versions,
            ...lacksRoutes ? { routingTable: directory.routingTable() } : {},
            ...lacksEndpoints ? { endpoints: directory.records(), removals: directory.removals() } : {},
            newsAgeMilliseconds: Math.round(freshness.ageMilliseconds()),
        };
    }

    function applyAnswer(answer: RenewalAnswer, sentAt: number): void {
        const { routingVersion, endpointRevision } = answer;
        holderVersions = { routingVersion, endpointRevision };
        applyDirectoryUpdate(directory, answer);
        if (answer.newsAgeMilliseconds !== undefined) {
            freshness.applyAge(answer.newsAgeMilliseconds, sentAt);
        }
        vms.refresh();
        if (answer.vms !== undefined) {
            vms.replace(answer.vms, answer.vmListVersion);
        }
        answer.announcements.forEach(announcements.apply);
    }

    function answer(renewal: Renewal, state: HolderState): RenewalAnswer {
        applyDirectoryUpdate(directory, renewal);
        if (renewal.newsAgeMilliseconds !== undefined) {
            freshness.applyAge(renewal.newsAgeMilliseconds + dutyConstants.callTimeoutMilliseconds, clock.now());
        }
        const list = vms.list();
        return {
            ...state,
            ...createUpdate(renewal),
            vmListVersion: vms.version(),
            ...renewal.vmListVersion === vms.version() ? {} : { vms: list },
            announcements: announcements.listAfter(renewal.announcementSequence),
        };
    }

    return { createRenewal, applyAnswer, answer };
}
