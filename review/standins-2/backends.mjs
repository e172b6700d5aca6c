// Stand-in of one service: a primary and its replicas, with the wire protocol, their entries in the store, and promotions.
import { once } from "node:events";
import { createServer } from "node:net";

const heartbeatMilliseconds = 1_200;
const silentHeartbeats = 3;
const oldPrimaryMilliseconds = 1_000;
const slots = 3;
const longestQueue = 24;

/** Splits a text at blanks into at most `count` fields; the last one is the rest. */
function split(text, count) {
    const fields = [];
    let rest = text;
    while (fields.length < count - 1 && rest.includes(" ")) {
        const at = rest.indexOf(" ");
        fields.push(rest.slice(0, at));
        rest = rest.slice(at + 1);
    }
    return [...fields, rest];
}

function compare(left, right) {
    return left.term - right.term || left.number - right.number;
}

function parsePosition(text) {
    const [term, number] = text.split(".").map(Number);
    return { term, number };
}

/**
 * Creates a service without backends.
 *
 * @param options `name`, `maxConns`, `lagMs` (until a replica has applied what it received), `workMs` (a read, write or
 * commit), `promoteMs`, the `store`, and `record`, which gets what the backends run.
 */
export function createService({ name, maxConns, lagMs, workMs, promoteMs, store, record }) {
    const backends = [];
    let signatures = 0;

    function endOf(log) {
        const last = log.at(-1);
        return last === undefined ? { term: 1, number: 0 } : { term: last.term, number: last.number };
    }

    function newestPrimary() {
        return backends.filter(each => each.isRunning && each.isPrimary).sort((left, right) => right.term - left.term)[0];
    }

    function register(backend) {
        if (!backend.isRunning) {
            return;
        }
        backend.seq += 1;
        store.put("servers", backend.id, {
            service: name,
            addr: `127.0.0.1:${backend.port}`,
            zone: backend.zone,
            version: "v1",
            slots,
            state: backend.isDraining ? "draining" : "ready",
            coldLeftMs: 0,
            seq: backend.seq,
            born: backend.born,
            dbRole: backend.isPrimary ? "primary" : "replica",
        });
        backend.reportedAt = Date.now();
    }

    /** Sends an entry of the primary's log to a replica, which applies it later. */
    function replicate(primary, replica, entry) {
        setTimeout(() => {
            const isFollower = replica.isRunning && !replica.isPrimary && replica.follows === primary.id && replica.term === primary.term;
            if (!isFollower) {
                return;
            }
            replica.received.push(entry);
            setTimeout(() => {
                if (replica.received.includes(entry) && !replica.applied.includes(entry) && replica.follows === primary.id) {
                    replica.applied.push(entry);
                }
            }, lagMs);
        }, 1);
    }

    function commit(primary, writes) {
        const end = endOf(primary.applied);
        const entry = { term: primary.term, number: end.number + 1, writes };
        primary.received.push(entry);
        primary.applied.push(entry);
        for (const other of backends) {
            if (other !== primary) {
                replicate(primary, other, entry);
            }
        }
        return entry;
    }

    /** Makes a backend a replica of the primary, with the primary's log in place of its own. */
    function follow(backend, primary) {
        const kept = new Set(primary.received);
        const dropped = backend.received.filter(entry => !kept.has(entry));
        for (const entry of dropped) {
            record({ event: "commit rolled back", backend: backend.id, term: entry.term, number: entry.number, ids: entry.writes.map(({ id }) => id) });
        }
        backend.isPrimary = false;
        backend.follows = primary.id;
        backend.term = primary.term;
        backend.received = [...primary.received];
        backend.applied = backend.applied.filter(entry => kept.has(entry));
        for (const entry of backend.received.filter(each => !backend.applied.includes(each))) {
            setTimeout(() => {
                if (backend.received.includes(entry) && !backend.applied.includes(entry)) {
                    backend.applied.push(entry);
                }
            }, lagMs);
        }
        register(backend);
    }

    /** The named backend leads the next term with what it has received. */
    function promote(id) {
        const chosen = backends.find(backend => backend.id === id);
        if (chosen === undefined || !chosen.isRunning) {
            return false;
        }
        if (newestPrimary() === chosen) {
            return true;
        }
        setTimeout(() => {
            if (!chosen.isRunning || newestPrimary() === chosen) {
                return;
            }
            const former = newestPrimary();
            chosen.term = Math.max(...backends.map(backend => backend.term)) + 1;
            chosen.isPrimary = true;
            chosen.follows = undefined;
            chosen.applied = [...chosen.received];
            record({ event: "promoted", backend: id, term: chosen.term, end: endOf(chosen.received), former: former?.id });
            register(chosen);
            for (const other of backends.filter(each => each !== chosen && each.isRunning)) {
                if (!other.isPrimary) {
                    follow(other, chosen);
                }
                else {
                    setTimeout(() => rejoin(other), oldPrimaryMilliseconds);
                }
            }
        }, promoteMs);
        return true;
    }

    /** A primary that has reached a newer one becomes its replica. */
    function rejoin(backend) {
        const newest = newestPrimary();
        if (backend.isRunning && newest !== undefined && newest !== backend && newest.term > backend.term) {
            follow(backend, newest);
        }
    }

    function createSession(backend, socket) {
        const values = new Map();
        const prepared = new Map();
        const queue = [];
        let isOpen = false;
        let isWorking = false;
        let transaction;
        let hasFailed = false;
        let buffered = "";

        function send(lines) {
            if (backend.isRunning && socket.writable) {
                socket.write(`${lines.join("\r\n")}\r\n`, "latin1");
            }
        }

        function ready() {
            const state = transaction === undefined ? "I" : hasFailed ? "E" : "T";
            const { term, number } = endOf(backend.applied);
            return `READY ${state} ${term}.${number}`;
        }

        function succeed(rows, signature) {
            send([...rows.map(row => `ROW ${row}`), `COMPLETE ${signature}`, ready()]);
        }

        function fail(code) {
            hasFailed = transaction !== undefined;
            send([`ERROR ${code} ${backend.id}`, ready()]);
        }

        function sign() {
            signatures += 1;
            return `${backend.id}.${backend.term}.${signatures}`;
        }

        function open(fields) {
            const [service, , expected] = split(fields, 3);
            if (service !== name || (expected !== undefined && expected !== backend.id)) {
                socket.end(`ERROR MISROUTED ${backend.id}\r\n`);
                return;
            }
            if (backend.sockets.size > maxConns) {
                socket.end(`ERROR CONNLIMIT ${backend.id}\r\n`);
                return;
            }
            isOpen = true;
            send([ready()]);
        }

        /** Occupies a slot for the time of the work, or refuses with BUSY. */
        async function work() {
            if (backend.waiting.length >= longestQueue) {
                return false;
            }
            if (backend.busy >= slots) {
                await new Promise(resolve => backend.waiting.push(resolve));
            }
            else {
                backend.busy += 1;
            }
            await new Promise(resolve => setTimeout(resolve, workMs));
            const next = backend.waiting.shift();
            if (next === undefined) {
                backend.busy -= 1;
            }
            else {
                next();
            }
            return true;
        }

        function valueOf(item) {
            const own = transaction?.writes.findLast(write => write.item === item);
            return own?.data ?? backend.applied.findLast(entry => entry.writes.some(write => write.item === item))
                ?.writes.findLast(write => write.item === item).data ?? "nothing";
        }

        function status() {
            const { term, number } = endOf(backend.received);
            const role = backend.isPrimary ? "primary" : "replica";
            succeed([`${role} ${backend.term} ${term}.${number} ${backend.heldTerm} 0 ${backend.busy} ${backend.sockets.size}`], "-");
        }

        /** Runs a read, write or commit of a client, or refuses it. */
        async function runWork(id, word, item, data) {
            const hasLostLead = () => transaction !== undefined && !transaction.isReadOnly && !backend.isPrimary;
            const isWrite = word === "WRITE";
            const isRefused = () =>
                word === "COMMIT"
                    ? hasLostLead() && transaction.writes.length > 0
                    : hasLostLead() || isWrite && (!backend.isPrimary || transaction?.isReadOnly === true);
            if (isRefused()) {
                fail("READONLY");
                return;
            }
            if (!await work()) {
                fail("BUSY");
                return;
            }
            if (!backend.isRunning) {
                return;
            }
            if (isRefused()) {
                fail("READONLY");
                return;
            }
            const signature = sign();
            record({ event: "runs", backend: backend.id, term: backend.term, isPrimary: backend.isPrimary, id, word, item, data, signature });
            if (word === "READ") {
                succeed([valueOf(item)], signature);
                return;
            }
            if (isWrite) {
                if (transaction === undefined) {
                    const entry = commit(backend, [{ id, item, data }]);
                    record({ event: "commits", backend: backend.id, term: entry.term, number: entry.number, ids: [id], signature });
                }
                else {
                    transaction.writes.push({ id, item, data });
                }
                succeed([], signature);
                return;
            }
            const { writes } = transaction;
            transaction = undefined;
            hasFailed = false;
            if (writes.length > 0) {
                const entry = commit(backend, writes);
                record({ event: "commits", backend: backend.id, term: entry.term, number: entry.number, ids: writes.map(write => write.id), signature });
            }
            succeed([], signature);
        }

        const handlers = {
            STATUS: () => status(),
            DISCARD: () => {
                values.clear();
                prepared.clear();
                succeed([], "-");
            },
            SET: (id, rest) => {
                const [key, value] = split(rest, 2);
                values.set(key, value);
                succeed([], "-");
            },
            PARSE: (id, rest) => {
                const [key, mode, shape] = split(rest, 3);
                prepared.set(key, { mode, shape });
                succeed([], "-");
            },
            CLOSE: (id, rest) => {
                prepared.delete(rest);
                succeed([], "-");
            },
            BEGIN: (id, rest) => {
                if (rest !== "READ" && !backend.isPrimary) {
                    fail("READONLY");
                    return;
                }
                transaction = { isReadOnly: rest === "READ", writes: [] };
                hasFailed = false;
                succeed([], "-");
            },
            ROLLBACK: () => {
                transaction = undefined;
                hasFailed = false;
                succeed([], "-");
            },
            STEPDOWN: (id, rest) => {
                if (backend.isPrimary && backend.term < Number(rest)) {
                    backend.isPrimary = false;
                    backend.follows = undefined;
                    record({ event: "stepped down", backend: backend.id, end: endOf(backend.received) });
                    register(backend);
                }
                status();
            },
            PAUSE: (id, rest) => {
                backend.heldTerm = Math.max(backend.heldTerm, Number(rest));
                status();
            },
            RESUME: () => {
                backend.heldTerm = 0;
                status();
            },
            COMMIT: id => transaction === undefined ? fail("MALFORMED") : runWork(id, "COMMIT"),
            READ: (id, rest) => runWork(id, "READ", rest),
            WRITE: (id, rest) => runWork(id, "WRITE", ...split(rest, 2)),
            EXECUTE: (id, rest) => {
                const [key, item, data] = split(rest, 3);
                const statement = prepared.get(key);
                return statement === undefined ? fail("NOSTMT") : runWork(id, statement.mode, item, data);
            },
        };

        async function run(fields) {
            const [id, sent] = split(fields, 2);
            let text = sent;
            if (text.startsWith("AFTERLSN ")) {
                const [, position, rest] = split(text, 3);
                if (compare(endOf(backend.applied), parsePosition(position)) < 0) {
                    fail("LAGGING");
                    return;
                }
                text = rest;
            }
            const [word, rest = ""] = split(text, 2);
            if (hasFailed && word !== "ROLLBACK" && word !== "COMMIT") {
                fail("MALFORMED");
                return;
            }
            await handlers[word]?.(id, rest);
        }

        async function drain() {
            if (isWorking) {
                return;
            }
            isWorking = true;
            while (queue.length > 0) {
                const [word, fields = ""] = split(queue.shift(), 2);
                if (word === "STARTUP" && !isOpen) {
                    open(fields);
                }
                else if (word === "QUERY" && isOpen) {
                    await run(fields);
                }
                else {
                    socket.end();
                }
            }
            isWorking = false;
        }

        socket.on("data", chunk => {
            buffered += chunk.toString("latin1");
            const lines = buffered.split("\r\n");
            buffered = lines.pop();
            queue.push(...lines);
            void drain();
        });
    }

    /** Starts a backend; it is the primary if it is the first, else a replica that has the primary's log. */
    async function add({ id, zone }) {
        const primary = newestPrimary();
        const log = primary === undefined ? [] : [...primary.received];
        const backend = {
            id,
            zone,
            port: 0,
            born: Date.now(),
            seq: 0,
            term: primary?.term ?? 1,
            heldTerm: 0,
            isPrimary: primary === undefined,
            follows: primary?.id,
            isRunning: true,
            isDraining: false,
            received: log,
            applied: [...log],
            busy: 0,
            waiting: [],
            sockets: new Set(),
            reportedAt: 0,
        };
        const server = createServer({ noDelay: true }, socket => {
            backend.sockets.add(socket);
            socket.on("error", () => socket.destroy());
            socket.on("close", () => backend.sockets.delete(socket));
            createSession(backend, socket);
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        backend.port = server.address().port;
        backend.server = server;
        backends.push(backend);
        register(backend);
        return backend;
    }

    /** The backend crashes: it sends nothing more, and its connections are reset. */
    function crash(backend) {
        backend.isRunning = false;
        backend.server.close();
        for (const socket of backend.sockets) {
            socket.resetAndDestroy();
        }
        record({ event: "crashed", backend: backend.id });
    }

    /** A crashed backend comes back with its log; as a replica if another one was promoted. */
    async function restart(backend) {
        backend.isRunning = true;
        backend.born = Date.now();
        backend.seq = 0;
        backend.busy = 0;
        backend.waiting = [];
        const newest = newestPrimary();
        if (newest !== undefined && newest !== backend) {
            follow(backend, newest);
        }
        backend.server.listen(backend.port, "127.0.0.1");
        await once(backend.server, "listening");
        record({ event: "restarted", backend: backend.id, isPrimary: backend.isPrimary });
        register(backend);
    }

    function announceDraining(backend) {
        backend.isDraining = true;
        register(backend);
        record({ event: "draining", backend: backend.id });
    }

    /** A backend that was draining exits. */
    function leave(backend) {
        backend.isRunning = false;
        backend.server.close();
        for (const socket of backend.sockets) {
            socket.end();
        }
        store.remove("servers", backend.id);
        record({ event: "left", backend: backend.id });
    }

    const heartbeat = setInterval(() => {
        for (const backend of backends) {
            if (backend.isRunning) {
                register(backend);
            }
            else if (Date.now() - backend.reportedAt > silentHeartbeats * heartbeatMilliseconds) {
                store.remove("servers", backend.id);
            }
        }
    }, heartbeatMilliseconds);

    return {
        name,
        backends,
        add,
        promote,
        newestPrimary,
        crash,
        restart,
        announceDraining,
        leave,
        stop: () => {
            clearInterval(heartbeat);
            for (const backend of backends) {
                backend.server.close();
                for (const socket of backend.sockets) {
                    socket.destroy();
                }
            }
        },
    };
}
