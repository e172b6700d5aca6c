import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Peers } from "../../transport/types/Peers.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import { forwardingConstants } from "../constants.js";
import type { createForwardingRouter } from "../createForwardingRouter/index.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { SessionOpener } from "../types/SessionOpener.js";

type ForwardingRouter = ReturnType<typeof createForwardingRouter>;

/**
 * Creates the function that opens sessions at other VMs. The transport's heartbeat detects an unresponsive VM.
 *
 * @param peers The transport between processes.
 * @param clock Measures the timeout of opening.
 * @returns Opens a session at another VM.
 *
 * @example
 * const session = await createSessionOpener(peers, clock)(host, "shop");
 */
export function createSessionOpener(peers: Peers, clock: Clock): SessionOpener {
    return async (host, database) => {
        const { forwarding } = peers.clientOf<ForwardingRouter>(host.address);
        const closeListeners: (() => void)[] = [];
        let isClosed = false;
        const opened = createWaiter<number>({
            clock,
            timeoutMilliseconds: forwardingConstants.openTimeoutMilliseconds,
            createTimeoutError: () =>
                createError(ErrorKind.Unreachable, `VM ${host.name} did not open a session in time.`, {
                    remedy: "Serve the session at another VM.",
                }),
            onTimeout: () => subscription.unsubscribe(),
        });

        function end(error: Error): void {
            if (!isClosed) {
                isClosed = true;
                opened.reject(error);
                closeListeners.splice(0).forEach(listener => listener());
            }
        }

        const subscription = forwarding.open.subscribe(database, {
            onData: id => opened.resolve(id),
            onError: end,
            onComplete: () =>
                end(createError(ErrorKind.ConnectionClosed, `VM ${host.name} closed the session.`, {
                    remedy: "Open another session.",
                })),
        });
        const sessionId = await opened.promise;
        return {
            run: statement => forwarding.run.mutate({ ...statement, sessionId }) as Promise<ForwardedAnswer>,
            onClose: listener => {
                if (isClosed) {
                    listener();
                }
                else {
                    closeListeners.push(listener);
                }
            },
            close: subscription.unsubscribe,
        };
    };
}
