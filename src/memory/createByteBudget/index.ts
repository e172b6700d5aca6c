import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { memoryConstants } from "../constants.js";
import { createAnswerBudget } from "../createAnswerBudget/index.js";
import { createStateBudget } from "../createStateBudget/index.js";
import type { ByteAccount } from "../types/ByteAccount.js";
import type { ByteBudget } from "../types/ByteBudget.js";
import type { ConnectionControl } from "../types/ConnectionControl.js";
import type { MemoryLimits } from "../types/MemoryLimits.js";

/** Options of `createByteBudget`. */
interface ByteBudgetOptions {
    readonly limits: MemoryLimits;
    readonly clock: Pick<Clock, "now">;
    readonly metrics: Pick<Metrics, "countMemoryRefusal" | "countReadPause" | "countStateRefusal" | "countLongAnswer">;
    readonly log: LogTopic;
    /** Called with the size of what was received; by default nothing is done. */
    readonly onReceived?: (bytes: number) => void;
}

/** What one connection holds. */
interface Holder {
    readonly control: ConnectionControl;
    commandCount: number;
    acceptedBytes: number;
    unacceptedBytes: number;
    unsentBytes: number;
    isPaused: boolean;
    /** Whether the connection was refused or closed. */
    isEnded: boolean;
}

const { commandOverheadBytes, maximumCommands, pausedReadBytes, resumeCommands, smallBytes } = memoryConstants;

/**
 * Creates the budget of the bytes that connections hold: commands that were accepted and not answered, what was received
 * beside them, and answers that the peer has not taken.
 *
 * A connection is not read while it holds many commands or bytes. When the accepted commands of all connections hold
 * much, only connections that hold little are read, until commands are answered. A message that was received in part
 * never waits for another one; when these fill the budget, the connection that holds most is refused.
 *
 * @param options Limits in bytes, clock, metrics and log.
 * @returns The budget, without connections.
 *
 * @example
 * const budget = createByteBudget({ limits: { totalBytes: 50_000_000, connectionBytes: 500_000 }, clock, metrics, log });
 */
export function createByteBudget(options: ByteBudgetOptions): ByteBudget {
    const { limits: { totalBytes, connectionBytes }, clock, metrics, log, onReceived = () => {} } = options;
    const shortageBytes = totalBytes * memoryConstants.shortageShare;
    const recoveryBytes = totalBytes * memoryConstants.recoveryShare;
    /** Connections that hold anything beside accepted commands. */
    const evictable = new Set<Holder>();
    const paused = new Set<Holder>();
    let heldBytes = 0;
    let acceptedBytes = 0;
    let isShort = false;
    let refusedSinceLog = 0;
    let loggedAt = -Infinity;

    function open(control: ConnectionControl): ByteAccount {
        const holder: Holder = {
            control,
            commandCount: 0,
            acceptedBytes: 0,
            unacceptedBytes: 0,
            unsentBytes: 0,
            isPaused: false,
            isEnded: false,
        };
        return {
            accept: bytes => accept(holder, bytes),
            release: bytes => release(holder, bytes),
            report: (unaccepted, unsent) => report(holder, unaccepted, unsent),
            close: () => end(holder),
            releaseAll: () => releaseAll(holder),
        };
    }

    function accept(holder: Holder, bytes: number): boolean {
        const cost = bytes + commandOverheadBytes;
        onReceived(bytes);
        const hasRoom = makeRoom(cost + pausedReadBytes);
        if (!hasRoom && bytes > smallBytes) {
            refuse(holder);
        }
        if (holder.isEnded) {
            return false;
        }
        addAccepted(holder, cost);
        holder.commandCount += 1;
        isShort ||= acceptedBytes > shortageBytes;
        update(holder);
        return true;
    }

    function release(holder: Holder, bytes: number): void {
        addAccepted(holder, -bytes - commandOverheadBytes);
        holder.commandCount -= 1;
        endShortage();
        update(holder);
        if (holder.isPaused && holder.commandCount === 0 && holder.unsentBytes < connectionBytes) {
            holder.control.deliverNext();
        }
    }

    function releaseAll(holder: Holder): void {
        end(holder);
        addAccepted(holder, -holder.acceptedBytes);
        endShortage();
    }

    function endShortage(): void {
        if (isShort && acceptedBytes < recoveryBytes) {
            isShort = false;
            [...paused].forEach(update);
        }
    }

    function addAccepted(holder: Holder, bytes: number): void {
        holder.acceptedBytes += bytes;
        acceptedBytes += bytes;
        heldBytes += bytes;
    }

    function report(holder: Holder, unacceptedBytes: number, unsentBytes: number): void {
        if (holder.isEnded) {
            return;
        }
        change(holder, () => {
            holder.unacceptedBytes = unacceptedBytes;
            holder.unsentBytes = unsentBytes;
        });
        update(holder);
        makeRoom(0);
    }

    /** Applies a change to what a connection holds beside its accepted commands. */
    function change(holder: Holder, apply: () => void): void {
        heldBytes -= evictableBytes(holder);
        apply();
        const bytes = evictableBytes(holder);
        heldBytes += bytes;
        if (bytes > 0) {
            evictable.add(holder);
        }
        else {
            evictable.delete(holder);
        }
    }

    /** Pauses or resumes reading. */
    function update(holder: Holder): void {
        const isPaused = !mayRead(holder);
        if (holder.isEnded || !holder.control.canPause || isPaused === holder.isPaused) {
            return;
        }
        change(holder, () => {
            holder.isPaused = isPaused;
        });
        if (isPaused) {
            paused.add(holder);
            metrics.countReadPause();
            holder.control.pause();
        }
        else {
            paused.delete(holder);
            holder.control.resume();
        }
    }

    function mayRead(holder: Holder): boolean {
        const { commandCount, unacceptedBytes, unsentBytes, isPaused } = holder;
        const hasManyCommands = isPaused ? commandCount > resumeCommands : commandCount >= maximumCommands;
        const hasMuchAccepted = commandCount > 0 && holder.acceptedBytes >= connectionBytes;
        const holdsMuch = holder.acceptedBytes + unacceptedBytes + unsentBytes > smallBytes;
        return !hasManyCommands && !hasMuchAccepted && unsentBytes < connectionBytes && !(isShort && holdsMuch);
    }

    /** Refuses the connections that hold most until there is room; returns whether there is. */
    function makeRoom(bytes: number): boolean {
        while (heldBytes + bytes > totalBytes) {
            const greediest = findGreediest();
            if (greediest === undefined) {
                return false;
            }
            refuse(greediest);
        }
        return true;
    }

    function findGreediest(): Holder | undefined {
        let greediest: Holder | undefined;
        let mostBytes: number = smallBytes;
        for (const holder of evictable) {
            const bytes = evictableBytes(holder);
            if (bytes > mostBytes) {
                greediest = holder;
                mostBytes = bytes;
            }
        }
        return greediest;
    }

    function refuse(holder: Holder): void {
        if (holder.isEnded) {
            return;
        }
        const isSlowReader = holder.unsentBytes > holder.unacceptedBytes;
        logRefusal(evictableBytes(holder));
        end(holder);
        metrics.countMemoryRefusal();
        if (isSlowReader) {
            holder.control.disconnect();
        }
        else {
            holder.control.refuse();
        }
    }

    function end(holder: Holder): void {
        holder.isEnded = true;
        paused.delete(holder);
        change(holder, () => {
            holder.isPaused = false;
            holder.unacceptedBytes = 0;
            holder.unsentBytes = 0;
        });
    }

    function logRefusal(bytes: number): void {
        refusedSinceLog += 1;
        if (clock.now() - loggedAt < memoryConstants.logIntervalMilliseconds) {
            return;
        }
        log("connections refused: callers' connections hold too many bytes", {
            refused: refusedSinceLog,
            bytes,
            heldBytes,
            totalBytes,
        });
        refusedSinceLog = 0;
        loggedAt = clock.now();
    }

    return {
        ...createStateBudget(options),
        ...createAnswerBudget(options),
        open,
        heldBytes: () => heldBytes,
        pausedCount: () => paused.size,
    };
}

function evictableBytes({ unacceptedBytes, unsentBytes, isPaused }: Holder): number {
    return unacceptedBytes + unsentBytes + (isPaused ? pausedReadBytes : 0);
}
