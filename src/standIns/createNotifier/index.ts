/** Notifies listeners of changes. */
interface Notifier {
    notify(): void;
    /** Calls the listener at each change; the returned function ends the subscription. */
    onChange(listener: () => void): () => void;
}

/**
 * Creates a notifier without listeners.
 *
 * @returns The notifier.
 *
 * @example
 * const unsubscribe = notifier.onChange(() => send(readStatus()));
 */
export function createNotifier(): Notifier {
    const listeners = new Set<() => void>();

    function notify(): void {
        for (const listener of [...listeners]) {
            listener();
        }
    }

    function onChange(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return { notify, onChange };
}
