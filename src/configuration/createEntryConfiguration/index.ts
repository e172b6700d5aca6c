import { createTimeLimitedSignal } from "../../clock/createTimeLimitedSignal/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { Address } from "../../network/types/Address.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { iterateSubscription } from "../../transport/iterateSubscription/index.js";
import type { Peers } from "../../transport/types/Peers.js";
import { applyUpdates } from "../applyUpdates/index.js";
import { configurationConstants } from "../constants.js";
import type { createConfigurationRouter } from "../createConfigurationRouter/index.js";
import { createConfigurationState } from "../createConfigurationState/index.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import type { ConfigurationService } from "../types/ConfigurationService.js";
import type { ConfigurationUpdate } from "../types/ConfigurationUpdate.js";
import { UpdateKind } from "../types/UpdateKind.js";

/** Options of `createEntryConfiguration`. */
interface EntryConfigurationOptions {
    /** The gateway on the same VM. */
    readonly localGateway: Address;
    /** Gateways to subscribe to while the local one is unavailable. */
    readonly otherGateways: readonly Address[];
    readonly peers: Peers;
    readonly events: EventRecorder;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}

/**
 * Creates the configuration service of an entry, which subscribes to the updates of its local gateway or, while that
 * is unavailable, of another one.
 *
 * @param options The gateways, and services that it uses.
 * @returns The service, at version 0 until it is started; the version never decreases, even if the
 * gateway changes.
 *
 * @example
 * const configuration = createEntryConfiguration({ ...settings, peers, events, clock, random, logger });
 */
export function createEntryConfiguration(options: EntryConfigurationOptions): ConfigurationService {
    const { clock, random } = options;
    const state = createConfigurationState(options.events);
    const log = options.logger.topic("configuration");
    const closeController = new AbortController();
    let task: Promise<void> | undefined;
    let resolveLoaded = (): void => {};
    const loaded = new Promise<void>(resolve => {
        resolveLoaded = resolve;
    });

    /** Passes updates on and resolves `loaded` when the first gateway has sent everything up to its version. */
    async function* detectLoaded(updates: AsyncIterable<ConfigurationUpdate>): AsyncGenerator<ConfigurationUpdate> {
        for await (const update of updates) {
            yield update;
            if (update.kind === UpdateKind.InForce) {
                resolveLoaded();
            }
        }
    }

    /** Applies the updates of one gateway until the connection fails; for a remote gateway the time is limited. */
    async function subscribe(address: Address): Promise<void> {
        const isLocal = address === options.localGateway;
        const timeoutMilliseconds = isLocal ? undefined : configurationConstants.otherGatewayTimeoutMilliseconds;
        const { signal, release } = createTimeLimitedSignal(closeController.signal, clock, timeoutMilliseconds);
        const client = options.peers.clientOf<ReturnType<typeof createConfigurationRouter>>(address);
        const report = (): void => {
            client.configuration.report.mutate({ version: state.current().version }).catch(() => {});
        };
        const stopReporting = state.onChange(report);
        try {
            const input = { version: state.current().version };
            const updates = iterateSubscription<ConfigurationUpdate>(
                observer => client.configuration.watch.subscribe(input, observer),
                signal,
            );
            await applyUpdates(state, detectLoaded(updates));
        }
        finally {
            stopReporting();
            release();
        }
    }

    async function run(): Promise<void> {
        let delays = listRetryDelays(random);
        while (!closeController.signal.aborted) {
            for (const address of [options.localGateway, ...random.shuffle(options.otherGateways)]) {
                const versionBefore = state.current().version;
                await subscribe(address).catch((error: unknown) => {
                    log("configuration subscription ended; the next gateway is tried", {
                        reason: toTypedError(error).message,
                    });
                });
                if (closeController.signal.aborted) {
                    return;
                }
                if (state.current().version > versionBefore) {
                    delays = listRetryDelays(random);
                    break;
                }
            }
            await clock.sleep(delays.next().value, closeController.signal);
        }
    }

    async function start(): Promise<void> {
        task = run();
        await Promise.race([
            loaded,
            clock.sleep(configurationConstants.startTimeoutMilliseconds, closeController.signal),
        ]);
    }

    async function stop(): Promise<void> {
        closeController.abort();
        await task;
    }

    return { current: state.current, onChange: state.onChange, start, stop };
}
