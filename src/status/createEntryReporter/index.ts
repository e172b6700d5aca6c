import type { Clock } from "../../clock/types/Clock.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { eventConstants } from "../../events/constants.js";
import type { createEventsRouter } from "../../events/createEventsRouter/index.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Service } from "../../kernel/types/Service.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { Address } from "../../network/types/Address.js";
import type { Peers } from "../../transport/types/Peers.js";
import { statusConstants } from "../constants.js";
import type { createStatusRouter } from "../createStatusRouter/index.js";
import type { StatusRegistry } from "../types/StatusRegistry.js";

/** Options of `createEntryReporter`. */
interface EntryReporterOptions {
    readonly registry: StatusRegistry;
    readonly events: EventRecorder;
    /** The gateway on the same VM. */
    readonly localGateway: Address;
    /** Gateways to report to while the local gateway is unreachable. */
    readonly otherGateways: readonly Address[];
    readonly peers: Peers;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Starts the graceful stop of this process. */
    readonly requestStop: () => void;
}

/** Routers of a gateway that an entry reports to. */
type ReportRouter = ReturnType<typeof createStatusRouter> & ReturnType<typeof createEventsRouter>;

/**
 * Creates the service that sends the status and the events of an entry to its local gateway.
 *
 * A gateway that answers with a lower sequence has restarted; all retained events after that sequence are sent again.
 *
 * @param options Status and events to report, and the gateways that receive them.
 * @returns The service.
 *
 * @example
 * const reporter = createEntryReporter({ ...settings, registry, events, peers, clock, logger, requestStop });
 */
export function createEntryReporter(options: EntryReporterOptions): Service {
    const { registry, events, clock } = options;
    const log = options.logger.topic("status");
    const stopController = new AbortController();
    const sequenceByGateway = new Map<Address, number>();
    let isStopRequested = false;
    let task: Promise<void> | undefined;

    async function reportTo(address: Address): Promise<void> {
        const client = options.peers.clientOf<ReportRouter>(address);
        const { isDraining } = await client.status.push.mutate(registry.createReport());
        const afterSequence = sequenceByGateway.get(address) ?? 0;
        const pushed = events.list(afterSequence).slice(0, eventConstants.maximumPushedEvents);
        const { newestSequence } = await client.events.push.mutate({ afterSequence, events: pushed });
        sequenceByGateway.set(address, newestSequence);
        if (isDraining && !isStopRequested) {
            isStopRequested = true;
            options.requestStop();
        }
    }

    async function run(): Promise<void> {
        while (!stopController.signal.aborted) {
            for (const address of [options.localGateway, ...options.otherGateways]) {
                try {
                    await reportTo(address);
                    break;
                }
                catch (error) {
                    log("status report could not be sent to the gateway", {
                        port: address.port,
                        reason: toTypedError(error).message,
                    });
                }
            }
            await clock.sleep(statusConstants.reportIntervalMilliseconds, stopController.signal);
        }
    }

    async function start(): Promise<void> {
        task = run();
    }

    async function stop(): Promise<void> {
        stopController.abort();
        await task;
        await reportTo(options.localGateway).catch(() => {});
    }

    return { start, stop };
}
