/** The bytes of one request's body. */
interface BodyAccount {
    /** Adds received bytes. */
    add(bytes: number): void;
    /** The request was answered, or its connection has ended. */
    release(): void;
}

/** The bytes of the bodies of all requests that are arriving or being answered. */
interface BodyBudget {
    /** Opens the account of a request, with the function that ends its connection. */
    open(disconnect: () => void): BodyAccount;
    heldBytes(): number;
}

/** What one request holds. */
interface Holder {
    readonly disconnect: () => void;
    bytes: number;
    isReleased: boolean;
}

/**
 * Creates the budget of request bodies. When they fill it, the connection whose request holds most is closed.
 *
 * @param totalBytes Bytes of all bodies.
 * @param onDisconnected Called for each connection that is closed.
 * @returns The budget, without requests.
 *
 * @example
 * const budget = createBodyBudget(33_554_432, () => {});
 */
export function createBodyBudget(totalBytes: number, onDisconnected: () => void): BodyBudget {
    const holders = new Set<Holder>();
    let heldBytes = 0;

    function open(disconnect: () => void): BodyAccount {
        const holder: Holder = { disconnect, bytes: 0, isReleased: false };
        return { add: bytes => add(holder, bytes), release: () => release(holder) };
    }

    function add(holder: Holder, bytes: number): void {
        if (holder.isReleased) {
            return;
        }
        holders.add(holder);
        holder.bytes += bytes;
        heldBytes += bytes;
        while (heldBytes > totalBytes) {
            const greediest = findGreediest();
            release(greediest);
            greediest.disconnect();
            onDisconnected();
        }
    }

    function findGreediest(): Holder {
        return [...holders].reduce((most, holder) => holder.bytes > most.bytes ? holder : most);
    }

    function release(holder: Holder): void {
        holder.isReleased = true;
        holders.delete(holder);
        heldBytes -= holder.bytes;
        holder.bytes = 0;
    }

    return { open, heldBytes: () => heldBytes };
}
