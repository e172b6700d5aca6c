import type { CallerSessions } from "../../callerSessions/types/CallerSessions.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { listenForCallers } from "../../platform/listenForCallers/index.js";
import { serveReadiness } from "../../platform/serveReadiness/index.js";
import type { VmSettings } from "../types/VmSettings.js";

/** Options of `createVmFront`. */
interface VmFrontOptions {
    readonly settings: VmSettings;
    readonly sessions: CallerSessions;
    readonly directory: Directory;
    readonly log: LogTopic;
}

/** What the outside sees of a VM: the callers' address and the answer to the readiness probe. */
interface VmFront {
    start(): Promise<void>;
    stop(): Promise<void>;
    describeWork(): readonly string[];
}

/**
 * Creates what the outside sees of a VM. It takes new connections once it knows routes and endpoints, and until it is
 * told to stop.
 *
 * @param options Settings, sessions, directory and log.
 * @returns The front, not yet listening.
 *
 * @example
 * await createVmFront({ settings, sessions, directory, log }).start();
 */
export function createVmFront(options: VmFrontOptions): VmFront {
    const { settings, sessions, directory, log } = options;
    const closers: (() => void)[] = [];
    let isStopping = false;
    let wasReady = false;

    function isReady(): boolean {
        const ready = !isStopping && directory.routingVersion() > 0 && directory.groups().length > 0;
        if (ready !== wasReady) {
            log("readiness", {
                isReady: ready,
                version: directory.routingVersion(),
                groups: directory.groups().length,
            });
            wasReady = ready;
        }
        return ready;
    }

    async function start(): Promise<void> {
        const listener = await listenForCallers(settings.callerAddress, sessions.serve);
        const readiness = await serveReadiness(settings.readinessAddress, isReady);
        closers.push(listener.stop, readiness.stop);
    }

    async function stop(): Promise<void> {
        isStopping = true;
        await sessions.closeAll();
        closers.forEach(close => close());
    }

    return { start, stop, describeWork: sessions.describeWork };
}
