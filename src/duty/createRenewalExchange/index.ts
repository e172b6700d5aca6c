import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { StoreNews } from "../../directory/types/StoreNews.js";
import { dutyConstants } from "../constants.js";
import type { createAnnouncements } from "../createAnnouncements/index.js";
import type { createVmList } from "../createVmList/index.js";
import { exchangeKnowledge } from "../exchangeKnowledge/index.js";
import type { Renewal } from "../types/Renewal.js";
import type { RenewalAnswer } from "../types/RenewalAnswer.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** Options of `createRenewalExchange`. */
interface RenewalExchangeOptions {
    readonly clock: Clock;
    /** This VM. */
    readonly self: VmIdentity;
    readonly directory: Directory;
    readonly news: StoreNews;
    readonly vms: ReturnType<typeof createVmList>;
    readonly announcements: ReturnType<typeof createAnnouncements>;
}

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
    let holderRoutingVersion = Number.POSITIVE_INFINITY;
    let holderEndpointRevision = Number.POSITIVE_INFINITY;

    function createRenewal(hasHeardHolder: boolean): Renewal {
        const routingVersion = directory.version();
        const endpointRevision = directory.revision();
        return {
            vm: self,
            hasHeardHolder,
            routingVersion,
            endpointRevision,
            vmListVersion: vms.version(),
            announcementSequence: announcements.latest(),
            ...routingVersion > holderRoutingVersion ? { routingTable: directory.routingTable() } : {},
            ...endpointRevision > holderEndpointRevision ? listEndpoints() : {},
            ...Number.isFinite(holderRoutingVersion) ? { newsAgeMilliseconds: Math.round(news.ageMilliseconds()) } : {},
        };
    }

    function listEndpoints() {
        return { endpoints: directory.records(), removals: directory.removals() };
    }

    function learn(answer: RenewalAnswer, sentAt: number): void {
        holderRoutingVersion = answer.routingVersion;
        holderEndpointRevision = answer.endpointRevision;
        exchangeKnowledge(directory, answer);
        if (answer.newsAgeMilliseconds !== undefined) {
            news.learn(answer.newsAgeMilliseconds, sentAt);
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
            news.learn(renewal.newsAgeMilliseconds + dutyConstants.callMilliseconds, clock.now());
        }
        const list = vms.list();
        const isBehind = directory.version() > renewal.routingVersion;
        return {
            ...state,
            routingVersion: directory.version(),
            endpointRevision: directory.revision(),
            vmListVersion: vms.version(),
            ...renewal.vmListVersion === vms.version() ? {} : { vms: list },
            ...isBehind ? { routingTable: directory.routingTable() } : {},
            ...directory.revision() > renewal.endpointRevision ? listEndpoints() : {},
            newsAgeMilliseconds: Math.round(news.ageMilliseconds()),
            announcements: announcements.after(renewal.announcementSequence),
        };
    }

    return { createRenewal, learn, answer };
}
