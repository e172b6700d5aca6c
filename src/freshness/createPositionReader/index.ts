import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { Confirmation } from "../../confirmation/types/Confirmation.js";
import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import type { PositionReader } from "../types/PositionReader.js";
import type { PositionRequest } from "../types/PositionRequest.js";

/** Options of `createPositionReader`. */
interface PositionReaderOptions {
    readonly clock: Clock;
    readonly configuration: ConfigurationService;
    readonly confirmation: Confirmation;
    readonly topology: TopologyService;
}

/**
 * Creates the service that reads a position which includes every entry acknowledged before the request.
 *
 * The primary and enough replicas for a majority must report the term, all queried after the request arrived. No other
 * primary can then have acknowledged an entry before the request, since its promotion would have fenced a majority.
 *
 * @param options Clock, configuration, confirmation and topology.
 * @returns The position reader; its promises never reject.
 *
 * @example
 * const reply = await createPositionReader(options).readPosition({ database: "stock", term: 3, timeLeftMilliseconds: 500 });
 */
export function createPositionReader(options: PositionReaderOptions): PositionReader {
    const { clock, configuration, confirmation, topology } = options;

    function readStatus(database: string, endpoint: string): Promise<EndpointStatus | undefined> {
        // An endpoint that does not answer counts as one that did not report the term.
        return confirmation.readStatus(database, endpoint).catch(() => undefined);
    }

    async function readPosition(request: PositionRequest): Promise<EndpointReply> {
        const group = topology.groupOf(request.database);
        const definition = configuration.current().content.databases[request.database];
        if (group === undefined || definition === undefined || group.term !== request.term) {
            return {
                ...createRefusal(`This gateway does not know ${request.database} in term ${request.term}.`),
                newerTerm: group?.term,
            };
        }
        const names = Object.keys(definition.endpoints);
        const majority = Math.floor(names.length / 2) + 1;
        const holders: EndpointStatus[] = [];
        return new Promise(resolve => {
            const readings = names.map(async name => {
                const status = await readStatus(request.database, name);
                if (status !== undefined && servesTerm(status, request.term, name === group.primary)) {
                    holders.push(status);
                }
                const primary = holders.find(holder => holder.endpoint === group.primary);
                if (primary !== undefined && holders.length >= majority) {
                    const { term, position } = primary;
                    resolve({ outcome: OutcomeKind.Answer, result: undefined, term, position, queueLength: 0 });
                }
            });
            const finished = new AbortController();
            const allRead = Promise.all(readings).finally(() => finished.abort());
            void Promise.race([allRead, clock.sleep(request.timeLeftMilliseconds, finished.signal)]).then(() => {
                resolve(
                    createRefusal(
                        `No majority of the endpoints of ${request.database} reported term ${request.term} in time.`,
                    ),
                );
            });
        });
    }

    return { readPosition };
}

function servesTerm(status: EndpointStatus, term: number, isPrimary: boolean): boolean {
    const role = isPrimary ? EndpointRole.Primary : EndpointRole.Replica;
    return status.role === role && status.term === term && status.fencedTerm <= term;
}

function createRefusal(description: string): Extract<EndpointReply, { readonly outcome: OutcomeKind.NotRun; }> {
    return {
        outcome: OutcomeKind.NotRun,
        reason: NotRunReason.NoPrimary,
        message: `${description} Retry in a moment, or read with a session token.`,
    };
}
