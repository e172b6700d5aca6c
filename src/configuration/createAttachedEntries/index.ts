import type { ProcessVersion } from "../types/ProcessVersion.js";

/** The entries that a gateway feeds, with their versions in force. */
interface AttachedEntries {
    /** Adds an entry; the returned function removes it, unless it was added again since. */
    attach(process: string, version: number): () => void;
    /** Notes the version of an attached entry; ignored for another process. */
    note(process: string, version: number): void;
    list(): ProcessVersion[];
}

/**
 * Creates the list of entries that a gateway feeds.
 *
 * @returns The list, empty.
 *
 * @example
 * const detach = attachedEntries.attach("vm-1-entry", 7);
 */
export function createAttachedEntries(): AttachedEntries {
    const entries = new Map<string, { version: number; }>();

    function attach(process: string, version: number): () => void {
        const attached = { version };
        entries.set(process, attached);
        return () => {
            if (entries.get(process) === attached) {
                entries.delete(process);
            }
        };
    }

    function note(process: string, version: number): void {
        const attached = entries.get(process);
        if (attached !== undefined) {
            attached.version = Math.max(attached.version, version);
        }
    }

    return { attach, note, list: () => [...entries].map(([process, { version }]) => ({ process, version })) };
}
