import { connect } from "node:net";
import type { SessionState } from "../../../statements/types/SessionState.js";
import type { StatementFailure } from "../../../statements/types/StatementFailure.js";
import { createLineSplitter } from "../../createLineSplitter/index.js";
import { decodeMessage } from "../../decodeMessage/index.js";
import { encodeMessage } from "../../encodeMessage/index.js";
import { WireMessageKind } from "../../types/WireMessageKind.js";
import type { CallerAnswer } from "../types/CallerAnswer.js";
import type { CallerStandIn } from "../types/CallerStandIn.js";

const maximumMessageBytes = 2_097_152;
let openedSessionCount = 0;

/**
 * Connects to a VM and opens a session, as the users' callers do.
 *
 * @param port Port of the VM's caller server.
 * @param database The database to open.
 * @param host Loopback address of the VM.
 * @param key Key with which the caller identifies itself.
 * @returns The session and the answer to its startup message.
 *
 * @example
 * const { caller } = await createCallerStandIn(port, "shop");
 * const { rows } = await caller.run("READ 1a4");
 */
export async function createCallerStandIn(
    port: number,
    database: string,
    host = "127.0.0.1",
    key = "u1",
): Promise<{ readonly caller: CallerStandIn; readonly opening: CallerAnswer; }> {
    const socket = connect({ host, port, noDelay: true });
    const splitter = createLineSplitter(maximumMessageBytes);
    const answers: CallerAnswer[] = [];
    const waiters: ((answer: CallerAnswer) => void)[] = [];
    openedSessionCount += 1;
    const sessionNumber = openedSessionCount;
    let statementCount = 0;
    let rows: string[] = [];
    let signature: string | undefined;
    let failure: StatementFailure | undefined;
    let isClosed = false;

    function deliver(state: SessionState | undefined): void {
        const answer = { rows, signature, failure, state };
        rows = [];
        signature = undefined;
        failure = undefined;
        const waiter = waiters.shift();
        if (waiter === undefined) {
            answers.push(answer);
        }
        else {
            waiter(answer);
        }
    }

    /** Ends every statement that still waits for its answer. */
    function endAnswers(): void {
        isClosed = true;
        do {
            deliver(undefined);
        }
        while (waiters.length > 0);
    }

    socket.on("error", () => socket.destroy());
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve())).then(endAnswers);
    socket.on("data", chunk => {
        for (const line of splitter.push(chunk) ?? []) {
            const message = decodeMessage(line);
            if (message.kind === WireMessageKind.Row) {
                rows.push(message.text);
            }
            else if (message.kind === WireMessageKind.Complete) {
                signature = message.signature;
            }
            else if (message.kind === WireMessageKind.Error) {
                failure = message.failure;
            }
            else if (message.kind === WireMessageKind.Ready) {
                deliver(message.state);
            }
        }
    });

    function nextAnswer(): Promise<CallerAnswer> {
        const answer = answers.shift() ?? (isClosed ? { rows: [] } : undefined);
        return answer === undefined ? new Promise(resolve => waiters.push(resolve)) : Promise.resolve(answer);
    }

    const caller: CallerStandIn = {
        run: text => {
            statementCount += 1;
            socket.write(encodeMessage({ kind: WireMessageKind.Query, id: caller.lastId(), text }), "latin1");
            return nextAnswer();
        },
        sendRaw: bytes => void socket.write(bytes, "latin1"),
        nextAnswer,
        lastId: () => `s${sessionNumber}q${statementCount}`,
        closed,
        close: () => socket.destroy(),
    };
    socket.write(encodeMessage({ kind: WireMessageKind.Startup, database, user: key }), "latin1");
    return { caller, opening: await nextAnswer() };
}
