/** One backend of a database service, as PROTOCOL describes it. Commits get numbers; replicas get them from `onCommit`. */
import { once } from "node:events";
import { createServer } from "node:net";
import { createLineReader, splitFields } from "./lines.mjs";

const isBehind = (log, [term, number]) => log.term < term || log.term === term && log.number < number;

export async function startBackend({ id, service, isPrimary, onCommit, onRun, maxConns = 21, answerOf }) {
    const sockets = new Set();
    const backend = {
        id,
        service,
        isPrimary,
        term: 1,
        heldTerm: 0,
        log: [],
        workMs: 1,
        isDown: false,
        isDeaf: false,
        position: () => backend.log.at(-1) ?? { term: 1, number: 0 },
    };
    const positionText = () => `${backend.position().term}.${backend.position().number}`;
    /** Commits as the primary; resolves when as many replicas as the service asks for have received the commit. */
    function commit(writes) {
        const entry = { term: backend.term, number: backend.position().number + 1, writes };
        backend.log.push(entry);
        return onCommit(backend, entry);
    }
    function readItem(item, pending) {
        const own = pending?.findLast(write => write.item === item);
        const committed = backend.log.findLast(entry => entry.writes.some(write => write.item === item));
        return (own ?? committed?.writes.findLast(write => write.item === item))?.data ?? "none";
    }
    function serve(socket) {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        const session = { values: new Map(), prepared: new Map(), transaction: undefined, hasFailed: false, isOpen: false };
        const queue = [];
        let isRunning = false;
        const state = () => session.transaction === undefined ? "I" : session.hasFailed ? "E" : "T";
        const send = text => {
            if (socket.writable) {
                socket.write(text, "latin1");
            }
        };
        const ready = () => `READY ${state()} ${positionText()}\r\n`;
        const fail = code => {
            session.hasFailed = session.transaction !== undefined;
            send(`ERROR ${code} ${id}\r\n${ready()}`);
        };
        const succeed = (rows, signature) =>
            send(`${rows.map(row => `ROW ${row}\r\n`).join("")}COMPLETE ${signature}\r\n${ready()}`);
        const controls = {
            DISCARD: () => {
                session.values.clear();
                session.prepared.clear();
                succeed([], "-");
            },
            ROLLBACK: () => {
                session.transaction = undefined;
                session.hasFailed = false;
                succeed([], "-");
            },
            SET: fields => {
                const [name, value] = splitFields(fields, 2);
                session.values.set(name, value);
                succeed([], "-");
            },
            PARSE: fields => {
                const [name, mode, shape] = splitFields(fields, 3);
                session.prepared.set(name, { mode, shape });
                succeed([], "-");
            },
            CLOSE: name => {
                session.prepared.delete(name);
                succeed([], "-");
            },
            STATUS: () => succeed([statusRow()], "-"),
            PAUSE: fields => {
                backend.heldTerm = Number(fields) > backend.term ? Number(fields) : backend.heldTerm;
                succeed([statusRow()], "-");
            },
            RESUME: () => {
                backend.heldTerm = 0;
                succeed([statusRow()], "-");
            },
            STEPDOWN: fields => {
                if (backend.isPrimary && Number(fields) > backend.term) {
                    backend.isPrimary = false;
                    backend.onRoleChange?.();
                }
                succeed([statusRow()], "-");
            },
        };
        const statusRow = () =>
            `${backend.isPrimary ? "primary" : "replica"} ${backend.term} ${positionText()} ${backend.heldTerm} 0 0 ${sockets.size}`;
        function begin(fields) {
            const isReadOnly = fields === "READ";
            if (!isReadOnly && !backend.isPrimary) {
                return fail("READONLY");
            }
            session.transaction = { isReadOnly, writes: [], ids: [] };
            session.hasFailed = false;
            return succeed([], "-");
        }
        async function execute(messageId, text) {
            const word = splitFields(text, 2)[0];
            const isWrite = word === "WRITE";
            const isPlain = session.transaction?.isReadOnly === false;
            const mayCommit = word === "COMMIT" && (session.transaction?.writes.length ?? 0) === 0;
            if (!backend.isPrimary && (isWrite || isPlain && !mayCommit) || isWrite && session.transaction?.isReadOnly) {
                return fail("READONLY");
            }
            onRun({ backend: id, id: messageId, text, values: Object.fromEntries(session.values), inTransaction: session.transaction !== undefined });
            const signature = `${id}.${messageId}.sig`;
            if (word === "COMMIT") {
                const ended = session.transaction;
                session.transaction = undefined;
                if ((ended?.writes.length ?? 0) > 0) {
                    await commit(ended.writes);
                }
                return succeed([], signature);
            }
            const [, item, data] = splitFields(text, 3);
            if (word === "READ") {
                return succeed([readItem(item, session.transaction?.writes)], signature);
            }
            const write = { item, data, id: messageId };
            if (session.transaction === undefined) {
                await commit([write]);
            }
            else {
                session.transaction.writes.push(write);
            }
            if (answerOf?.(backend, write, socket) === "lost") {
                socket.destroy();
                return undefined;
            }
            return succeed([], signature);
        }
        async function run(messageId, received) {
            let text = received;
            if (text.startsWith("AFTERLSN ")) {
                const [, least, rest] = splitFields(text, 3);
                if (isBehind(backend.position(), least.split(".").map(Number))) {
                    return fail("LAGGING");
                }
                text = rest;
            }
            const [word, fields = ""] = splitFields(text, 2);
            if (session.hasFailed && session.transaction !== undefined && word !== "ROLLBACK" && word !== "STATUS") {
                return fail("MALFORMED");
            }
            if (word === "BEGIN") {
                return begin(fields);
            }
            if (controls[word] !== undefined) {
                return controls[word](fields);
            }
            await new Promise(resolve => setTimeout(resolve, backend.workMs));
            if (word === "EXECUTE") {
                const [name, rest = ""] = splitFields(fields, 2);
                const definition = session.prepared.get(name);
                return definition === undefined ? fail("NOSTMT") : execute(messageId, `${definition.mode} ${rest}`);
            }
            return ["READ", "WRITE", "COMMIT"].includes(word) ? execute(messageId, text) : fail("MALFORMED");
        }
        async function drain() {
            isRunning = true;
            while (queue.length > 0 && !socket.destroyed) {
                const line = queue.shift();
                const [word, fields = ""] = splitFields(line, 2);
                if (word === "STARTUP") {
                    const [name, , expected] = splitFields(fields, 3);
                    if (name !== service || expected !== undefined && expected !== id) {
                        send(`ERROR MISROUTED ${id}\r\n`);
                        socket.end();
                    }
                    else if (sockets.size > maxConns) {
                        send(`ERROR CONNLIMIT ${id}\r\n`);
                        socket.end();
                    }
                    else {
                        send(ready());
                    }
                }
                else if (word === "QUERY") {
                    const [messageId, text = ""] = splitFields(fields, 2);
                    await run(messageId, text);
                }
                else if (word === "TERM") {
                    socket.end();
                }
                else {
                    send("ERROR MALFORMED\r\n");
                    socket.end();
                }
            }
            isRunning = false;
        }
        const read = createLineReader(line => queue.push(line));
        socket.on("data", chunk => {
            read(chunk);
            if (!isRunning) {
                void drain();
            }
        });
    }
    let server = createServer(serve);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    backend.port = server.address().port;
    backend.stop = () => {
        backend.isDown = true;
        server.close();
        sockets.forEach(socket => socket.destroy());
    };
    backend.restart = async () => {
        server = createServer(serve);
        server.listen(backend.port, "127.0.0.1");
        await once(server, "listening");
        backend.isDown = false;
    };
    return backend;
}
