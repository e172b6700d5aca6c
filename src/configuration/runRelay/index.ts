import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { configurationConstants } from "../constants.js";
import { isRelay } from "../isRelay/index.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";
import { writeDueSnapshot } from "../writeDueSnapshot/index.js";

/**
 * Watches the store for new versions while this gateway is a relay of its availability zone.
 *
 * The relay also reads the store at intervals, in case the watch misses versions without an error.
 *
 * @param dependencies State, store, membership and event recorder.
 * @param signal Stops the task.
 * @returns Resolves after the signal is aborted.
 *
 * @example
 * const task = runRelay(dependencies, closeController.signal);
 */
export async function runRelay(dependencies: ConfigurationDependencies, signal: AbortSignal): Promise<void> {
    const { clock, events, random } = dependencies;
    let delays = listRetryDelays(random);
    let isStoreLost = false;

    function recordContact(): void {
        delays = listRetryDelays(random);
        if (isStoreLost) {
            isStoreLost = false;
            events.record({
                kind: EventKind.PlatformReached,
                text: "Configuration versions are read from the store again.",
            });
        }
    }

    while (!signal.aborted) {
        await waitUntilRelay(dependencies, signal);
        if (signal.aborted) {
            return;
        }
        const closeController = new AbortController();
        const close = (): void => closeController.abort();
        signal.addEventListener("abort", close);
        const stopListening = dependencies.membership.onChange(() => {
            if (!isRelay(dependencies.membership)) {
                close();
            }
        });
        try {
            await Promise.all([
                watchStore(dependencies, closeController.signal, recordContact),
                readStoreAtIntervals(dependencies, closeController.signal, recordContact),
            ]);
        }
        catch (error) {
            if (!closeController.signal.aborted && !isStoreLost) {
                isStoreLost = true;
                const text = `The store cannot be watched for configuration versions: ${toTypedError(error).message}`;
                events.record({ kind: EventKind.PlatformLost, text });
            }
        }
        finally {
            close();
            stopListening();
            signal.removeEventListener("abort", close);
        }
        await clock.sleep(delays.next().value, signal);
    }
}

async function waitUntilRelay(dependencies: ConfigurationDependencies, signal: AbortSignal): Promise<void> {
    if (isRelay(dependencies.membership)) {
        return;
    }
    await new Promise<void>(resolve => {
        const finish = (): void => {
            stopListening();
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const stopListening = dependencies.membership.onChange(() => {
            if (isRelay(dependencies.membership)) {
                finish();
            }
        });
        signal.addEventListener("abort", finish);
    });
}

async function watchStore(
    dependencies: ConfigurationDependencies,
    signal: AbortSignal,
    recordContact: () => void,
): Promise<void> {
    for await (const record of dependencies.store.watchRecords(dependencies.state.current().version, signal)) {
        recordContact();
        dependencies.state.applyRecord(record);
    }
    if (!signal.aborted) {
        throw createError(ErrorKind.PlatformUnavailable, "The watch on configuration versions ended.", {
            remedy: "The watch is restarted automatically.",
        });
    }
}

async function readStoreAtIntervals(
    dependencies: ConfigurationDependencies,
    signal: AbortSignal,
    recordContact: () => void,
): Promise<void> {
    let writtenVersion = 0;
    while (!signal.aborted) {
        const jitter = 0.75 + dependencies.random.next() / 2;
        await dependencies.clock.sleep(configurationConstants.relayReadIntervalMilliseconds * jitter, signal);
        if (signal.aborted) {
            return;
        }
        await catchUpFromStore(dependencies.state, dependencies.store, { withSnapshot: false });
        recordContact();
        writtenVersion = await writeDueSnapshot(dependencies, writtenVersion);
    }
}
