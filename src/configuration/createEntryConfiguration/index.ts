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
    /** Gateways to ask while the local one is away. */
    readonly otherGateways: readonly Address[];
    readonly peers: Peers;
    readonly events: EventRecorder;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}

/**
 * Creates the configuration service of an entry, fed by its local gateway or, while that is away, by another one.
 *
 * @param options The gateways, and the services it works with.
 * @returns The service, at version 0 until it is started; the version never falls, whichever gateway feeds it.
 *
 * @example
 * const configuration = createEntryConfiguration({ ...settings, peers, events, clock, random, logger });
 */
export function createEntryConfiguration(options: EntryConfigurationOptions): ConfigurationService {
    const { clock, random } = options;
    const state = createConfigurationState(options.events);
    const log = options.logger.topic("configuration");
    const abort = new AbortController();
    let task: Promise<void> | undefined;
    let resolveLoaded = (): void => {};
    const loaded = new Promise<void>(resolve => {
        resolveLoaded = resolve;
    });

    /** Passes updates on and notes when the first gateway has sent all that it has. */
    async function* noteLoaded(updates: AsyncIterable<ConfigurationUpdate>): AsyncGenerator<ConfigurationUpdate> {
        for await (const update of updates) {
            yield update;
            if (update.kind === UpdateKind.InForce) {
                resolveLoaded();
            }
        }
    }

    /** Follows one gateway until the connection fails, one that is not local for a limited time. */
    async function follow(address: Address): Promise<void> {
        const isLocal = address === options.localGateway;
        const limitMilliseconds = isLocal ? undefined : configurationConstants.otherGatewayMilliseconds;
        const { signal, release } = createTimeLimitedSignal(abort.signal, clock, limitMilliseconds);
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
            await applyUpdates(state, noteLoaded(updates));
        }
        finally {
            stopReporting();
            release();
        }
    }

    async function run(): Promise<void> {
        let delays = listRetryDelays(random);
        while (!abort.signal.aborted) {
            for (const address of [options.localGateway, ...random.shuffle(options.otherGateways)]) {
                const before = state.current().version;
                await follow(address).catch((error: unknown) => {
                    log("gateway does not feed the configuration", { reason: toTypedError(error).message });
                });
                if (abort.signal.aborted) {
                    return;
                }
                if (state.current().version > before) {
                    delays = listRetryDelays(random);
                    break;
                }
            }
            await clock.sleep(delays.next().value, abort.signal);
        }
    }

    async function start(): Promise<void> {
        task = run();
        await Promise.race([loaded, clock.sleep(configurationConstants.startTimeoutMilliseconds, abort.signal)]);
    }

    async function stop(): Promise<void> {
        abort.abort();
        await task;
    }

    return { current: state.current, onChange: state.onChange, start, stop };
}
