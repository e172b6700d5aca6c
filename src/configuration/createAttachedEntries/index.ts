import type { ProcessVersion } from "../types/ProcessVersion.js";

/** The entries subscribed to a gateway's configuration updates, with their versions in force. */
interface AttachedEntries {
    /** Adds an entry; the returned function removes it unless it was added again in the meantime. */
    attach(process: string, version: number): () => void;
    /** Records the version in force in an attached entry; a lower version or another process is ignored. */
    recordVersion(process: string, version: number): void;
    list(): ProcessVersion[];
}

/**
 * Creates the list of entries subscribed to a gateway's configuration updates.
 *
 * @returns The empty list.
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

    function recordVersion(process: string, version: number): void {
        const attached = entries.get(process);
        if (attached !== undefined) {
            attached.version = Math.max(attached.version, version);
        }
    }

    return {
        attach,
        recordVersion,
        list: () => [...entries].map(([process, { version }]) => ({ process, version })),
    };
}
