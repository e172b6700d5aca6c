/** The calling side of one connection to a peer. */
export interface PeerConnection {
    /** Runs a query or mutation. */
    call(type: "query" | "mutation", path: string, input: unknown, signal?: AbortSignal): Promise<unknown>;
    /** Runs a subscription; the returned function cancels it. */
    subscribe(path: string, input: unknown, observer: PeerSubscriber): () => void;
    close(): void;
    readonly closed: Promise<void>;
}

/** Receives the items of a subscription. */
interface PeerSubscriber {
    next(item: unknown): void;
    error(error: unknown): void;
    complete(): void;
}
