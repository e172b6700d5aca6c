import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { VmSettings } from "../types/VmSettings.js";

/** Options of `createSettingsReload`. */
interface SettingsReloadOptions {
    readonly clock: Clock;
    /** The settings that the process was started with. */
    readonly settings: VmSettings;
    /** Reads and checks the settings file anew. */
    readonly read: () => VmSettings;
    /** Calls the listener at each signal that the file has changed; returns the function that ends this. */
    readonly onSignal: (listener: () => void) => () => void;
    readonly log: LogTopic;
}

/** Takes changed settings in. */
interface SettingsReload {
    start(): Promise<void>;
    stop(): Promise<void>;
}

/** The file may change without a signal; it is read this often, in milliseconds. */
const checkMilliseconds = 5_000;

/**
 * Creates the reload of settings: a broken file changes nothing, and a valid one is compared key by key.
 *
 * Everything in the settings is an address or a limit of this process that holds until it ends, so a reload drops no
 * connection; a changed key is named in the log, since it needs a restart.
 *
 * @param options Clock, the present settings, how to read them and when.
 * @returns The reload, not yet started.
 *
 * @example
 * await createSettingsReload({ clock, settings, read, onSignal, log }).start();
 */
export function createSettingsReload(options: SettingsReloadOptions): SettingsReload {
    const { clock, log } = options;
    const end = new AbortController();
    let present = options.settings;
    let lastProblem: string | undefined;

    function reload(isSignalled: boolean): void {
        try {
            const next = options.read();
            const changedKeys = listChangedKeys(present, next);
            if (isSignalled || changedKeys.length > 0) {
                log("settings reloaded", { isSignalled, changedKeys });
            }
            present = next;
            lastProblem = undefined;
        }
        catch (error) {
            const { message } = error as Error;
            if (isSignalled || message !== lastProblem) {
                log("settings are broken and were not reloaded", { isSignalled, reason: message });
            }
            lastProblem = message;
        }
    }

    async function checkRegularly(): Promise<void> {
        while (!end.signal.aborted) {
            await clock.sleep(checkMilliseconds, end.signal);
            reload(false);
        }
    }

    let stopListening = (): void => {};
    return {
        start: async () => {
            stopListening = options.onSignal(() => reload(true));
            void checkRegularly();
        },
        stop: async () => {
            end.abort();
            stopListening();
        },
    };
}

function listChangedKeys(before: VmSettings, after: VmSettings): readonly string[] {
    const keys = Object.keys(after) as (keyof VmSettings)[];
    return keys.filter(key => JSON.stringify(before[key]) !== JSON.stringify(after[key]));
}
