import { limitSignal } from "../../clock/limitSignal/index.js";
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
 * Creates the calls to other VMs, each with a time limit.
 *
 * @param peers The transport between processes.
 * @param clock Measures the time limits.
 * @returns A function that returns the calls to one VM.
 *
 * @example
 * const answer = await createVmPeers(peers, clock)(holder).renew(renewal);
 */
export function createVmPeers(peers: Peers, clock: Clock): (vm: VmIdentity) => VmPeer {
    async function limit<Result>(
        call: (options: { readonly signal: AbortSignal; }) => Promise<Result>,
        milliseconds: number = dutyConstants.callMilliseconds,
    ): Promise<Result> {
        const { signal, release } = limitSignal(new AbortController().signal, clock, milliseconds);
        const expired = new Promise<never>((_resolve, reject) => {
            signal.addEventListener("abort", () => reject(new Error("the VM did not answer in time")));
        });
        try {
            return await Promise.race([call({ signal }), expired]);
        }
        finally {
            release();
        }
    }

    return ({ address }) => {
        const { duty } = peers.clientOf<DutyRouter>(address);
        return {
            renew: renewal => limit(options => duty.renew.mutate(renewal, options) as Promise<RenewalAnswer>),
            askHeard: token => limit(options => duty.askHeard.query(token, options)),
            askReached: endpointId =>
                limit(options => duty.askReached.query(endpointId, options), 2 * dutyConstants.callMilliseconds),
            introduceHolder: holder => limit(options => duty.introduceHolder.mutate(holder, options)),
            announce: announcement => limit(options => duty.announce.mutate(announcement, options)),
            command: command =>
                limit(
                    options => duty.command.mutate(command, options) as Promise<readonly StatementAnswer[]>,
                    command.timeoutMilliseconds + dutyConstants.callMilliseconds,
                ),
        };
    };
}
