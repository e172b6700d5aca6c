import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { comparePositions } from "../../../statements/comparePositions/index.js";
import type { LogPosition } from "../../../statements/types/LogPosition.js";
import { createLineSplitter } from "../../createLineSplitter/index.js";
import { decodeMessage } from "../../decodeMessage/index.js";
import { WireMessageKind } from "../../types/WireMessageKind.js";
import { createStandInSession } from "../createStandInSession/index.js";
import type { EndpointStandIn } from "../types/EndpointStandIn.js";
import type { ExecutedStatement } from "../types/ExecutedStatement.js";
import type { LogEntry } from "../types/LogEntry.js";

/** Options of `createEndpointStandIn`. */
interface EndpointStandInOptions {
    readonly id: string;
    readonly group: string;
    readonly isPrimary: boolean;
    /** Called after each commit that the endpoint makes as the primary. */
    readonly onCommit: (endpoint: EndpointStandIn, entry: LogEntry) => void;
    /** Called for each caller's statement that the endpoint executes. */
    readonly onExecuted: (statement: ExecutedStatement) => void;
    /** Called when the endpoint steps down. */
    readonly onRoleChange: (endpoint: EndpointStandIn) => void;
}

const maximumMessageBytes = 1_048_576;

/**
 * Starts an endpoint for tests that uses the wire protocol of the users' endpoints.
 *
 * @param options Id, group and initial role of the endpoint, and its listeners.
 * @returns The endpoint, listening on a free port of the loopback address.
 *
 * @example
 * const endpoint = await createEndpointStandIn({ id: "i-1", group: "orders", isPrimary: true, ...listeners });
 */
export async function createEndpointStandIn(options: EndpointStandInOptions): Promise<EndpointStandIn> {
    const { id, group } = options;
    const sockets = new Set<Socket>();
    let connectionCount = 0;
    let server = createServer(accept);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as { port: number; };

    const endpoint: EndpointStandIn = {
        id,
        group,
        port,
        isPrimary: options.isPrimary,
        term: 1,
        heldTerm: 0,
        log: [],
        isSilent: false,
        lostAnswers: 0,
        isBusy: false,
        isIsolated: false,
        lagMilliseconds: 0,
        position: (): LogPosition => endpoint.log.at(-1)?.position ?? { term: 1, entry: 0 },
        kill: () => {
            server.close();
            sockets.forEach(socket => socket.resetAndDestroy());
        },
        restart: async () => {
            server = createServer(accept);
            server.listen(port, "127.0.0.1");
            await once(server, "listening");
        },
        countConnections: () => sockets.size,
    };
    return endpoint;

    function accept(socket: Socket): void {
        const splitter = createLineSplitter(maximumMessageBytes);
        connectionCount += 1;
        const session = createStandInSession(endpoint, {
            connection: connectionCount,
            write: text => {
                if (!endpoint.isSilent && socket.writable) {
                    socket.write(text, "latin1");
                }
            },
            closeConnection: () => socket.destroy(),
            commit,
            onExecuted: options.onExecuted,
            onRoleChange: options.onRoleChange,
        });
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            for (const line of splitter.push(chunk) ?? []) {
                const message = decodeMessage(line);
                if (message.kind === WireMessageKind.Startup) {
                    session.open(message.database, message.user);
                }
                else if (message.kind === WireMessageKind.Query) {
                    session.run(message.id, message.text);
                }
            }
        });
    }

    function commit(items: Readonly<Record<string, string>>, ids: readonly string[]): LogPosition {
        const lastPosition = endpoint.position();
        const position = { term: endpoint.term, entry: lastPosition.entry + 1 };
        if (comparePositions(position, lastPosition) <= 0) {
            throw new Error("the new log position is not greater than the last one");
        }
        const entry = { position, ids, items };
        endpoint.log.push(entry);
        options.onCommit(endpoint, entry);
        return position;
    }
}
