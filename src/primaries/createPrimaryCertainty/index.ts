import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Primaries } from "../types/Primaries.js";
import type { PrimaryCertainty } from "../types/PrimaryCertainty.js";

/** Options of `createPrimaryCertainty`. */
interface PrimaryCertaintyOptions {
    readonly directory: Directory;
    readonly primaries: Primaries;
    /** Whether this VM is told of each change of a primary before it takes effect. */
    readonly hasLease: () => boolean;
    /** Asks an endpoint whether it leads; fails when it does not answer. */
    readonly askLeading: (endpointId: string) => Promise<boolean>;
    readonly metrics: Pick<Metrics, "countConfirmation">;
    readonly log: LogTopic;
}

/** Questions about one endpoint. */
interface Questions {
    /** Under way: it may have begun before whatever a new caller relies on. */
    running?: Promise<boolean>;
    /** Not begun yet; new callers share it. */
    waiting?: Promise<boolean>;
}

/**
 * Creates the certainty about primaries. A VM with a lease is told of each change before it takes effect. Without one it
 * asks all other endpoints of the group: only one of them can have been promoted.
 *
 * @param options The directory, the belief, the lease and how to ask endpoints.
 * @returns The certainty.
 *
 * @example
 * const isValid = certainty.isSure(endpoint) || await certainty.confirm(endpoint);
 */
export function createPrimaryCertainty(options: PrimaryCertaintyOptions): PrimaryCertainty {
    const { directory, primaries, log } = options;
    const questionsByEndpoint = new Map<string, Questions>();

    function isSure(endpoint: EndpointRecord): boolean {
        return options.hasLease()
            && !primaries.isDisputed(endpoint.group)
            && primaries.primaryOf(endpoint.group)?.id === endpoint.id;
    }

    function confirm(endpoint: EndpointRecord): Promise<boolean> {
        const questions = questionsByEndpoint.get(endpoint.id) ?? {};
        questionsByEndpoint.set(endpoint.id, questions);
        if (questions.waiting !== undefined) {
            return questions.waiting;
        }
        const before = questions.running ?? Promise.resolve(true);
        const question = before.then(() => {
            questions.waiting = undefined;
            questions.running = question;
            return ask(endpoint);
        });
        questions.waiting = question;
        return question;
    }

    async function ask(endpoint: EndpointRecord): Promise<boolean> {
        const others = directory.endpointsOf(endpoint.group).filter(other => other.id !== endpoint.id);
        const leading = await Promise.all(others.map(({ id }) => options.askLeading(id).catch(() => undefined)));
        const isConfirmed = others.length > 0 && leading.every(isLeading => isLeading === false);
        options.metrics.countConfirmation(isConfirmed);
        if (!isConfirmed) {
            log("primary is not confirmed", {
                group: endpoint.group,
                endpoint: endpoint.id,
                leading: others.filter((_other, index) => leading[index] === true).map(({ id }) => id),
                silent: others.filter((_other, index) => leading[index] === undefined).map(({ id }) => id),
            });
        }
        return isConfirmed;
    }

    return { isSure, confirm };
}
