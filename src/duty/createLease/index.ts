import type { LogTopic } from "../../logging/types/LogTopic.js";
import { dutyConstants } from "../constants.js";

/** Time for which a VM may rely on the primaries announced by the holder. */
interface Lease {
    /**
     * Grants the lease after a renewal was answered; the function returns the time since before it was sent. A log line
     * with the given fields reports a lease after a time without one.
     */
    grant(sinceRenewal: () => number, fields: Parameters<LogTopic>[1]): void;
    isHeld(): boolean;
}

/**
 * Creates a lease that starts before the renewal is sent, so that delays only shorten it. A suspension of the VM counts
 * if the time since the renewal does.
 *
 * @param log Receives the line.
 * @returns The lease, not held yet.
 *
 * @example
 * const sinceSent = startElapsedTimer(clock);
 * await sendRenewal();
 * lease.grant(sinceSent, { holder });
 */
export function createLease(log: LogTopic): Lease {
    let sinceGranted = (): number => Infinity;

    function isHeld(): boolean {
        return sinceGranted() < dutyConstants.leaseMilliseconds;
    }

    return {
        grant: (sinceRenewal, fields) => {
            if (!isHeld()) {
                log("lease obtained", fields);
            }
            sinceGranted = sinceRenewal;
        },
        isHeld,
    };
}
