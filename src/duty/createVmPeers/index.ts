import { createTimeLimitedSignal } from "../../clock/createTimeLimitedSignal/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { Peers } from "../../transport/types/Peers.js";
import { dutyConstants } from "../constants.js";
import type { createDutyRouter } from "../createDutyRouter/index.js";
import type { RenewalAnswer } from "../types/RenewalAnswer.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmPeer } from "../types/VmPeer.js";

type DutyRouter = ReturnType<typeof createDutyRouter>;

/**
 * Creates the clients for calls to other VMs. Each call has a timeout.
 *
 * @param peers The transport between processes.
 * @param clock Measures the timeouts.
 * @returns A function that returns the client for one VM.
 *
 * @example
 * const answer = await createVmPeers(peers, clock)(holder).renew(renewal);
 */
export function createVmPeers(peers: Peers, clock: Clock): (vm: VmIdentity) => VmPeer {
    async function callWithTimeout<Result>(
        call: (options: { readonly signal: AbortSignal; }) => Promise<Result>,
        milliseconds: number = dutyConstants.callTimeoutMilliseconds,
    ): Promise<Result> {
        const { signal, release } = createTimeLimitedSignal(new AbortController().signal, clock, milliseconds);
        const timedOut = new Promise<never>((_resolve, reject) => {
            signal.addEventListener("abort", () => reject(new Error("the VM did not answer in time")));
        });
        try {
            return await Promise.race([call({ signal }), timedOut]);
        }
        finally {
            release();
        }
    }

    return ({ address }) => {
        const { duty } = peers.clientOf<DutyRouter>(address);
        return {
            renew: renewal => callWithTimeout(options => duty.renew.mutate(renewal, options) as Promise<RenewalAnswer>),
            queryHolderContact: token => callWithTimeout(options => duty.askHeard.query(token, options)),
            queryReachability: endpointId =>
                callWithTimeout(
                    options => duty.askReached.query(endpointId, options),
                    2 * dutyConstants.callTimeoutMilliseconds,
                ),
            readHolder: () => callWithTimeout(options => duty.readHolder.query(undefined, options)),
            notifyOfHolder: holder => callWithTimeout(options => duty.introduceHolder.mutate(holder, options)),
            announce: announcement => callWithTimeout(options => duty.announce.mutate(announcement, options)),
            command: command =>
                callWithTimeout(
                    options => duty.command.mutate(command, options) as Promise<readonly StatementAnswer[]>,
                    command.timeoutMilliseconds + dutyConstants.callTimeoutMilliseconds,
                ),
        };
    };
}
