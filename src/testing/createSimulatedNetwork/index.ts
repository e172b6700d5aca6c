import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { CallFault } from "../types/CallFault.js";
import type { SimulatedCall } from "../types/SimulatedCall.js";
import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";

const maximumDelayMilliseconds = 3;
const noFault: CallFault = {};

/**
 * Creates the links between the participants of a simulation. Each call and each answer takes a few milliseconds.
 *
 * @param clock Source of time.
 * @param random Source of the delays.
 * @returns The network, with all links intact.
 *
 * @example
 * network.cut("vm-1", "orders-1");
 * const answer = await network.send({ from: "vm-1", to: "vm-2", procedure: "renew", timeoutMilliseconds: 400 }, renew);
 */
export function createSimulatedNetwork(clock: Clock, random: RandomSource): SimulatedNetwork {
    /** Directions in which nothing arrives, written `from>to`. */
    const cuts = new Set<string>();
    const rules = new Set<Parameters<SimulatedNetwork["addRule"]>[0]>();

    function drawDelay(): number {
        return 1 + random.nextInteger(maximumDelayMilliseconds);
    }

    function findFault(call: SimulatedCall): CallFault {
        for (const rule of rules) {
            const fault = rule(call);
            if (fault !== undefined) {
                return fault;
            }
        }
        return noFault;
    }

    async function execute<Result>(run: () => Result | Promise<Result>): Promise<() => Result> {
        try {
            const result = await run();
            return () => result;
        }
        catch (error) {
            return () => {
                throw error;
            };
        }
    }

    /** Delivers a call; never resolves when the call or its answer is lost. */
    async function deliver<Result>(call: SimulatedCall, run: () => Result | Promise<Result>): Promise<Result> {
        const { from, to } = call;
        const fault = findFault(call);
        const lost = new Promise<never>(() => {});
        await clock.sleep(drawDelay() + (fault.requestDelayMilliseconds ?? 0));
        if (fault.isRequestLost === true || cuts.has(`${from}>${to}`)) {
            return await lost;
        }
        const readResult = await execute(run);
        await clock.sleep(drawDelay() + (fault.answerDelayMilliseconds ?? 0));
        if (fault.isAnswerLost === true || cuts.has(`${to}>${from}`)) {
            return await lost;
        }
        return readResult();
    }

    async function send<Result>(call: SimulatedCall, run: () => Result | Promise<Result>): Promise<Result> {
        let cancelTimer = (): void => {};
        const timedOut = new Promise<never>((_resolve, reject) => {
            cancelTimer = clock.startTimer(call.timeoutMilliseconds, () => reject(createTimeoutError(call)));
        });
        try {
            return await Promise.race([deliver(call, run), timedOut]);
        }
        finally {
            cancelTimer();
        }
    }

    function createTimeoutError({ to, procedure }: SimulatedCall): Error {
        return createError(ErrorKind.DeadlineExceeded, `${to} did not answer ${procedure} in time.`, {
            remedy: "Call it again.",
        });
    }

    function cutOneWay(from: string, to: string): void {
        cuts.add(`${from}>${to}`);
    }

    return {
        send,
        cutOneWay,
        cut: (left, right) => {
            cutOneWay(left, right);
            cutOneWay(right, left);
        },
        restore: (left, right) => {
            cuts.delete(`${left}>${right}`);
            cuts.delete(`${right}>${left}`);
        },
        restoreAll: () => cuts.clear(),
        isConnected: (left, right) => !cuts.has(`${left}>${right}`) && !cuts.has(`${right}>${left}`),
        addRule: rule => {
            rules.add(rule);
            return () => void rules.delete(rule);
        },
    };
}
