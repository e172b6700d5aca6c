import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { configurationConstants } from "../constants.js";
import { isRelay } from "../isRelay/index.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import type { ConfigurationParts } from "../types/ConfigurationParts.js";
import { writeDueSnapshot } from "../writeDueSnapshot/index.js";

/**
 * Watches the store for new versions while this gateway is a relay of its availability zone.
 *
 * Besides the watch it reads the store now and then, in case the watch has gone silent.
 *
 * @param parts State, store, membership and the time line.
 * @param signal Ends the task.
 * @returns Resolves after the signal.
 *
 * @example
 * const task = runRelay(parts, abort.signal);
 */
export async function runRelay(parts: ConfigurationParts, signal: AbortSignal): Promise<void> {
    const { clock, events, random } = parts;
    let delays = listRetryDelays(random);
    let isLost = false;

    function noteReached(): void {
        delays = listRetryDelays(random);
        if (isLost) {
            isLost = false;
            events.record({
                kind: EventKind.PlatformReached,
                text: "Reads configuration versions from the store again.",
            });
        }
    }

    while (!signal.aborted) {
        await waitForRelayDuty(parts, signal);
        if (signal.aborted) {
            return;
        }
        const duty = new AbortController();
        const end = (): void => duty.abort();
        signal.addEventListener("abort", end);
        const stopListening = parts.membership.onChange(() => {
            if (!isRelay(parts.membership)) {
                end();
            }
        });
        try {
            await Promise.all([
                watchStore(parts, duty.signal, noteReached),
                readStore(parts, duty.signal, noteReached),
            ]);
        }
        catch (error) {
            if (!duty.signal.aborted && !isLost) {
                isLost = true;
                const text = `Cannot watch configuration versions in the store: ${toTypedError(error).message}`;
                events.record({ kind: EventKind.PlatformLost, text });
            }
        }
        finally {
            end();
            stopListening();
            signal.removeEventListener("abort", end);
        }
        await clock.sleep(delays.next().value, signal);
    }
}

async function waitForRelayDuty(parts: ConfigurationParts, signal: AbortSignal): Promise<void> {
    if (isRelay(parts.membership)) {
        return;
    }
    await new Promise<void>(resolve => {
        const finish = (): void => {
            stopListening();
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const stopListening = parts.membership.onChange(() => {
            if (isRelay(parts.membership)) {
                finish();
            }
        });
        signal.addEventListener("abort", finish);
    });
}

async function watchStore(parts: ConfigurationParts, signal: AbortSignal, noteReached: () => void): Promise<void> {
    for await (const record of parts.store.watchRecords(parts.state.current().version, signal)) {
        noteReached();
        parts.state.takeIn(record);
    }
    if (!signal.aborted) {
        throw createError(ErrorKind.PlatformUnavailable, "The watch on configuration versions ended.", {
            remedy: "It is started again by itself.",
        });
    }
}

async function readStore(parts: ConfigurationParts, signal: AbortSignal, noteReached: () => void): Promise<void> {
    let writtenVersion = 0;
    while (!signal.aborted) {
        const share = 0.75 + parts.random.next() / 2;
        await parts.clock.sleep(configurationConstants.relayReadMilliseconds * share, signal);
        if (signal.aborted) {
            return;
        }
        await catchUpFromStore(parts.state, parts.store, { withSnapshot: false });
        noteReached();
        writtenVersion = await writeDueSnapshot(parts, writtenVersion);
    }
}
