import { z } from "zod";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { failoverConstants } from "../constants.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import type { FailoverRouter } from "../types/FailoverRouter.js";

const termsSchema = z.array(z.number().int().positive()).max(1_000);

/** Options of `keepTermsReserved`. */
interface KeepTermsReservedOptions {
    /** Highest known term; the reserved ones must be above it. */
    readonly highestTerm: () => number;
    /** Whether this gateway coordinates the database now, so that other gateways may relinquish their terms to it. */
    readonly isCoordinator: () => boolean;
    /** Gateways that may hold terms because they were coordinators before. */
    readonly formerCoordinators: () => readonly PeerRecord[];
    /** Called after each successful reservation. */
    readonly onReserved: () => void;
    readonly signal: AbortSignal;
}

/**
 * Keeps terms of a database reserved ahead until the signal is aborted.
 *
 * The first reservation waits for a random time that grows with the fleet, so that a restart of all gateways does not
 * cause a burst of store writes. While the store is unreachable, terms are requested from former coordinators.
 *
 * @param database Name of the database.
 * @param dependencies Services that it uses.
 * @param options Highest known term, former coordinators and the signal.
 *
 * @example
 * void keepTermsReserved("stock", dependencies, options);
 */
export async function keepTermsReserved(
    database: string,
    dependencies: FailoverDependencies,
    options: KeepTermsReservedOptions,
): Promise<void> {
    const { terms, clock, random, membership, peers, logger } = dependencies;
    const { highestTerm, signal } = options;
    const log = logger.topic("failover");
    let delay: number = failoverConstants.reservationRetryMilliseconds;

    function hasNoTerms(): boolean {
        return options.isCoordinator() && terms.count(database, highestTerm()) === 0;
    }

    async function requestHandOver(): Promise<void> {
        for (const peer of options.formerCoordinators()) {
            const callSignal = AbortSignal.timeout(failoverConstants.peerCallTimeoutMilliseconds);
            const client = peers.clientOf<FailoverRouter>(peer).failover;
            const answer = await client.handOver.mutate({ database }, { signal: callSignal }).catch(() => []);
            const handedOver = termsSchema.safeParse(answer);
            terms.accept(database, handedOver.success ? handedOver.data : []);
            if (terms.count(database, highestTerm()) > 0) {
                options.onReserved();
                return;
            }
        }
    }

    /** Runs concurrently with the reservations: a store call may hang while the current term exceeds all held ones. */
    async function runHandOverLoop(): Promise<void> {
        let withoutTermsSince: number | undefined;
        while (!signal.aborted) {
            withoutTermsSince = hasNoTerms() ? withoutTermsSince ?? clock.now() : undefined;
            const withoutTermsMilliseconds = withoutTermsSince === undefined ? 0 : clock.now() - withoutTermsSince;
            if (withoutTermsMilliseconds >= failoverConstants.handOverDelayMilliseconds) {
                await requestHandOver();
            }
            await clock.sleep(failoverConstants.handOverCheckMilliseconds, signal);
        }
    }

    async function runReservationLoop(): Promise<void> {
        const spread = membership.peers().length * failoverConstants.reservationSpreadMillisecondsPerGateway;
        await clock.sleep(random.next() * spread, signal);
        while (!signal.aborted) {
            try {
                const countBefore = terms.count(database, highestTerm());
                await terms.reserve(database, highestTerm());
                if (terms.count(database, highestTerm()) > countBefore) {
                    options.onReserved();
                }
                delay = failoverConstants.reservationRetryMilliseconds;
            }
            catch (error) {
                log("reservation of terms failed; the reservation is retried", { database, error: String(error) });
                delay = hasNoTerms()
                    ? failoverConstants.reservationRetryMilliseconds
                    : Math.min(delay * 2, failoverConstants.maximumReservationRetryMilliseconds);
            }
            await clock.sleep(delay * (0.5 + random.next()), signal);
        }
    }

    await Promise.all([runReservationLoop(), runHandOverLoop()]);
}
