import { connect, type Socket } from "node:net";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { AnswerBudget } from "../../memory/types/AnswerBudget.js";
import type { Address } from "../../network/types/Address.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import { platformConstants } from "../constants.js";
import { createLineSplitter } from "../createLineSplitter/index.js";
import { decodeMessage } from "../decodeMessage/index.js";
import { decodeReplicaStatus } from "../decodeReplicaStatus/index.js";
import { encodeOutgoing } from "../encodeOutgoing/index.js";
import type { WireMessage } from "../types/WireMessage.js";
import { WireMessageKind } from "../types/WireMessageKind.js";

/** Options of `openEndpointSession`. */
interface OpenEndpointSessionOptions {
    /** Address of the endpoint. */
    readonly address: Address;
    readonly group: string;
    /** Name of whom the connection is opened for. */
    readonly owner: string;
    /** Id of the endpoint that is expected at the address. */
    readonly endpointId: string;
    readonly timeoutMilliseconds: number;
    /** Bounds the bytes of answers that arrive. */
    readonly answerBudget: AnswerBudget;
}

/** Statements that were sent together and whose answers are pending. */
interface PendingExchange {
    readonly answers: StatementAnswer[];
    readonly statements: readonly OutgoingStatement[];
    readonly timer: NodeJS.Timeout;
    resolve(answers: readonly StatementAnswer[]): void;
    reject(error: Error): void;
}

/** Kinds of statements that are answered with the endpoint's replication status. */
const statusKinds: Partial<Record<OutgoingKind, true>> = {
    [OutgoingKind.ReadStatus]: true,
    [OutgoingKind.PauseReplication]: true,
    [OutgoingKind.ResumeReplication]: true,
    [OutgoingKind.StepDown]: true,
};

/** Kinds of the errors with which an endpoint's refusal to open a session is reported. */
const openingErrorKinds: Partial<Record<FailureCode, ErrorKind>> = {
    [FailureCode.ConnectionLimit]: ErrorKind.ConnectionLimitReached,
    [FailureCode.Misrouted]: ErrorKind.NotFound,
    [FailureCode.Busy]: ErrorKind.Overloaded,
};

/**
 * Opens a session on an endpoint.
 *
 * @param options The endpoint and the time limit in milliseconds.
 * @returns The session, ready for statements.
 * @throws TarragonpostError of kind `Unreachable`, `ConnectionLimitReached`, `NotFound` when another endpoint listens
 * at the address, `Overloaded`, or `DeadlineExceeded`.
 *
 * @example
 * const session = await openEndpointSession({ address, group, owner, endpointId, timeoutMilliseconds: 1_500 });
 */
export function openEndpointSession(options: OpenEndpointSessionOptions): Promise<EndpointSession> {
    const { address, group, owner, endpointId, answerBudget } = options;
    const socket = connect({ host: address.host, port: address.port, noDelay: true });
    socket.write(`STARTUP ${group} ${owner} ${endpointId}\r\n`);

    return new Promise((resolve, reject) => {
        let refusal: StatementFailure | undefined;
        const session = wrapEndpointSocket(socket, { endpointId, answerBudget }, {
            onReady: () => {
                clearTimeout(timer);
                resolve(session);
            },
            onRefusal: failure => {
                refusal = failure;
            },
        });
        const timer = setTimeout(() => {
            socket.destroy();
            reject(createOpeningError(ErrorKind.DeadlineExceeded, endpointId, "the endpoint did not answer in time"));
        }, options.timeoutMilliseconds);
        session.onClose(() => {
            clearTimeout(timer);
            const kind = refusal === undefined ? undefined : openingErrorKinds[refusal.code];
            reject(
                createOpeningError(
                    kind ?? ErrorKind.Unreachable,
                    endpointId,
                    refusal?.description ?? "the connection was closed",
                ),
            );
        });
    });
}

function createOpeningError(kind: ErrorKind, endpointId: string, reason: string): Error {
    return createError(kind, `No connection to endpoint ${endpointId}: ${reason}.`, {
        remedy: "Use another endpoint, or retry later.",
        details: { endpoint: endpointId },
    });
}

/** Receives the outcome of opening a session. */
interface OpeningListener {
    onReady(): void;
    onRefusal(failure: StatementFailure): void;
}

function wrapEndpointSocket(
    socket: Socket,
    { endpointId, answerBudget }: Pick<OpenEndpointSessionOptions, "endpointId" | "answerBudget">,
    opening: OpeningListener,
): EndpointSession {
    const account = answerBudget.openAnswers(socket);
    const splitter = createLineSplitter(platformConstants.maximumMessageBytes);
    const closeListeners: (() => void)[] = [];
    let pending: PendingExchange | undefined;
    let rows: string[] = [];
    let signature: string | undefined;
    let failure: StatementFailure | undefined;
    let position: LogPosition | undefined;
    let isOpen = false;
    let isClosed = false;

    socket.on("data", chunk => {
        account.add(chunk.length);
        const lines = splitter.push(chunk);
        if (lines === undefined) {
            socket.destroy();
            return;
        }
        for (const line of lines) {
            receive(decodeMessage(line));
        }
    });
    // The event "close" follows an error and fails the pending exchange.
    socket.on("error", () => socket.destroy());
    socket.on("end", () => socket.destroy());
    socket.once("close", () => {
        isClosed = true;
        account.release();
        const interrupted = pending;
        pending = undefined;
        if (interrupted !== undefined) {
            clearTimeout(interrupted.timer);
            interrupted.reject(createConnectionClosedError("closed the connection"));
        }
        closeListeners.splice(0).forEach(listener => listener());
    });

    function createConnectionClosedError(reason: string): Error {
        return createError(ErrorKind.ConnectionClosed, `Endpoint ${endpointId} ${reason}.`, {
            remedy: "Statements that were sent may have been executed.",
            details: { endpoint: endpointId },
        });
    }

    function receive(message: WireMessage): void {
        switch (message.kind) {
            case WireMessageKind.Row:
                rows.push(message.text);
                break;
            case WireMessageKind.Complete:
                signature = message.signature;
                break;
            case WireMessageKind.Error:
                failure = message.failure;
                if (!isOpen) {
                    opening.onRefusal(message.failure);
                }
                break;
            case WireMessageKind.Ready:
                finishAnswer(message);
                break;
            default:
                socket.destroy();
        }
    }

    function finishAnswer(ready: WireMessage & { readonly kind: WireMessageKind.Ready; }): void {
        position = ready.position ?? position;
        if (!isOpen) {
            isOpen = true;
            account.release();
            opening.onReady();
            return;
        }
        if (pending === undefined) {
            socket.destroy();
            return;
        }
        const replicaStatus = pending.statements[pending.answers.length]!.kind in statusKinds
            ? decodeReplicaStatus(rows[0] ?? "")
            : undefined;
        pending.answers.push({
            rows,
            signature,
            failure,
            state: ready.state,
            position: ready.position,
            replicaStatus,
        });
        rows = [];
        signature = undefined;
        failure = undefined;
        if (pending.answers.length === pending.statements.length) {
            const { timer, resolve, answers } = pending;
            pending = undefined;
            clearTimeout(timer);
            account.release();
            resolve(answers);
        }
    }

    function exchange(
        statements: readonly OutgoingStatement[],
        timeoutMilliseconds: number,
    ): Promise<readonly StatementAnswer[]> {
        if (isClosed || pending !== undefined) {
            return Promise.reject(
                createConnectionClosedError(
                    isClosed ? "had closed the connection" : "has not answered the previous exchange yet",
                ),
            );
        }
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                pending = undefined;
                socket.destroy();
                reject(createError(ErrorKind.DeadlineExceeded, `Endpoint ${endpointId} did not answer in time.`, {
                    remedy: "Statements that were sent may have been executed.",
                    details: { endpoint: endpointId, timeoutMilliseconds },
                }));
            }, timeoutMilliseconds);
            pending = { answers: [], statements, timer, resolve, reject };
            socket.write(statements.map(encodeOutgoing).join(""), "latin1");
        });
    }

    function onClose(listener: () => void): void {
        if (isClosed) {
            listener();
        }
        else {
            closeListeners.push(listener);
        }
    }

    return {
        get position() {
            return position;
        },
        get isClosed() {
            return isClosed || socket.destroyed;
        },
        exchange,
        close: () => socket.destroy(),
        onClose,
    };
}
