import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { StoreFreshness } from "../../directory/types/StoreFreshness.js";
import { dutyConstants } from "../constants.js";
import type { createAnnouncements } from "../createAnnouncements/index.js";
import type { createVmList } from "../createVmList/index.js";
import { exchangeKnowledge } from "../exchangeKnowledge/index.js";
import type { Knowledge } from "../types/Knowledge.js";
import type { Renewal } from "../types/Renewal.js";
import type { RenewalAnswer } from "../types/RenewalAnswer.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** Options of `createRenewalExchange`. */
interface RenewalExchangeOptions {
    readonly clock: Clock;
    /** This VM. */
    readonly self: VmIdentity;
    readonly directory: Directory;
    readonly news: StoreFreshness;
    readonly vms: ReturnType<typeof createVmList>;
    readonly announcements: ReturnType<typeof createAnnouncements>;
}

/** Up to which versions a VM knows the world. */
type KnownVersions = Pick<Knowledge, "routingVersion" | "endpointRevision">;

/** What a VM says of its own part when it answers a renewal. */
type HolderState = Pick<RenewalAnswer, "isHolder" | "isCertain" | "token">;

/** What VMs tell each other with each renewal; each side sends only what the other lacks. */
interface RenewalExchange {
    /** What this VM tells the holder. */
    createRenewal(hasHeardHolder: boolean): Renewal;
    /** Takes the holder's answer in; the question was sent at that time. */
    learn(answer: RenewalAnswer, sentAt: number): void;
    /** Takes another VM's renewal in and answers it. */
    answer(renewal: Renewal, state: HolderState): RenewalAnswer;
}

/**
 * Creates the exchange of knowledge that rides on the renewals: routing table, endpoints, VMs and announcements. Through
 * it news reach a VM that the store turns away.
 *
 * @param options This VM, and what it knows.
 * @returns The exchange.
 *
 * @example
 * exchange.learn(await peer.renew(exchange.createRenewal(true)));
 */
export function createRenewalExchange(options: RenewalExchangeOptions): RenewalExchange {
    const { clock, self, directory, news, vms, announcements } = options;
    /** What the holder knew last; nothing is sent before it has answered once. */
    let holderKnows: KnownVersions | undefined;

    function createRenewal(hasHeardHolder: boolean): Renewal {
        return {
            ...tell(holderKnows),
            vm: self,
            hasHeardHolder,
            vmListVersion: vms.version(),
            announcementSequence: announcements.latest(),
        };
    }

    /** Tells what another VM lacks; while that is not known, only what versions there are. */
    function tell(known: KnownVersions | undefined): Knowledge {
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
            newsAgeMilliseconds: Math.round(news.ageMilliseconds()),
        };
    }

    function learn(answer: RenewalAnswer, sentAt: number): void {
        const { routingVersion, endpointRevision } = answer;
        holderKnows = { routingVersion, endpointRevision };
        exchangeKnowledge(directory, answer);
        if (answer.newsAgeMilliseconds !== undefined) {
            news.applyAge(answer.newsAgeMilliseconds, sentAt);
        }
        vms.refresh();
        if (answer.vms !== undefined) {
            vms.adopt(answer.vms, answer.vmListVersion);
        }
        answer.announcements.forEach(announcements.learn);
    }

    function answer(renewal: Renewal, state: HolderState): RenewalAnswer {
        exchangeKnowledge(directory, renewal);
        if (renewal.newsAgeMilliseconds !== undefined) {
            news.applyAge(renewal.newsAgeMilliseconds + dutyConstants.callMilliseconds, clock.now());
        }
        const list = vms.list();
        return {
            ...state,
            ...tell(renewal),
            vmListVersion: vms.version(),
            ...renewal.vmListVersion === vms.version() ? {} : { vms: list },
            announcements: announcements.after(renewal.announcementSequence),
        };
    }

    return { createRenewal, learn, answer };
}
