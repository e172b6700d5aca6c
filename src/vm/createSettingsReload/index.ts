import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { VmSettings } from "../types/VmSettings.js";

/** Options of `createSettingsReload`. */
interface SettingsReloadOptions {
    readonly clock: Clock;
    /** The settings that the process was started with. */
    readonly settings: VmSettings;
    /** Reads and validates the settings file again. */
    readonly read: () => VmSettings;
    /** Calls the listener at each signal that the file has changed; returns the function that removes the listener. */
    readonly onSignal: (listener: () => void) => () => void;
    readonly log: LogTopic;
}

/** Detects changed settings and logs them. */
interface SettingsReload {
    start(): Promise<void>;
    stop(): Promise<void>;
}

/** Interval at which the file is read, because it may change without a signal, in milliseconds. */
const checkMilliseconds = 5_000;

/**
 * Creates the reload of settings: an invalid file changes nothing, and a valid one is compared key by key.
 *
 * All settings are addresses or limits that apply until the process ends, so a reload drops no connection. Changed keys
 * are logged, because they need a restart.
 *
 * @param options Clock, the current settings, the function that reads them, and the signal to do so.
 * @returns The reload, not started yet.
 *
 * @example
 * await createSettingsReload({ clock, settings, read, onSignal, log }).start();
 */
export function createSettingsReload(options: SettingsReloadOptions): SettingsReload {
    const { clock, log } = options;
    const end = new AbortController();
    let current = options.settings;
    let lastProblem: string | undefined;

    function reload(isSignalled: boolean): void {
        try {
            const next = options.read();
            const changedKeys = listChangedKeys(current, next);
            if (isSignalled || changedKeys.length > 0) {
                log("settings reloaded", { isSignalled, changedKeys });
            }
            current = next;
            lastProblem = undefined;
        }
        catch (error) {
            const { message } = error as Error;
            if (isSignalled || message !== lastProblem) {
                log("settings are invalid and were not reloaded", { isSignalled, reason: message });
            }
            lastProblem = message;
        }
    }

    async function runCheckLoop(): Promise<void> {
        while (!end.signal.aborted) {
            await clock.sleep(checkMilliseconds, end.signal);
            reload(false);
        }
    }

    let removeSignalListener = (): void => {};
    return {
        start: async () => {
            removeSignalListener = options.onSignal(() => reload(true));
            void runCheckLoop();
        },
        stop: async () => {
            end.abort();
            removeSignalListener();
        },
    };
}

function listChangedKeys(before: VmSettings, after: VmSettings): readonly string[] {
    const keys = Object.keys(after) as (keyof VmSettings)[];
    return keys.filter(key => JSON.stringify(before[key]) !== JSON.stringify(after[key]));
}
