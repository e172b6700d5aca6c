// Stand-in of a client: one session, one statement at a time.
import { randomBytes } from "node:crypto";
import { connect } from "node:net";

/** Opens a session; fails when it is refused or not answered within 2 s. */
export function openSession({ host, port }, database) {
    return new Promise((resolve, reject) => {
        const socket = connect({ host, port, noDelay: true });
        let buffered = "";
        let isOpen = false;
        let rows = [];
        let signature;
        let error;
        let pending;
        const timer = setTimeout(() => socket.destroy(), 2_000);

        function finish(outcome) {
            const waiting = pending;
            pending = undefined;
            waiting?.({ ...outcome, answeredAt: performance.now() });
        }

        /** Sends one statement; resolves with its answer, or with `error: "closed"` when the connection ends. */
        function query(text, id = randomBytes(8).toString("hex")) {
            return new Promise(answer => {
                const sentAt = performance.now();
                if (socket.destroyed) {
                    answer({ id, sentAt, error: "closed", answeredAt: sentAt });
                    return;
                }
                pending = outcome => answer({ id, sentAt, ...outcome });
                socket.write(`QUERY ${id} ${text}\r\n`, "latin1");
            });
        }

        function receive(line) {
            const [word, ...fields] = line.split(" ");
            if (word === "ROW") {
                rows.push(fields.join(" "));
            }
            else if (word === "COMPLETE") {
                signature = fields[0];
            }
            else if (word === "ERROR") {
                error = fields[0];
            }
            else if (word === "READY") {
                if (!isOpen) {
                    isOpen = true;
                    clearTimeout(timer);
                    resolve({ query, close: () => socket.destroy(), isClosed: () => socket.destroyed });
                    return;
                }
                const outcome = { rows, signature, error, state: fields[0] };
                rows = [];
                signature = undefined;
                error = undefined;
                finish(outcome);
            }
        }

        socket.on("data", chunk => {
            buffered += chunk.toString("latin1");
            const lines = buffered.split("\r\n");
            buffered = lines.pop();
            lines.forEach(receive);
        });
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            clearTimeout(timer);
            finish({ rows: [], error: "closed" });
            reject(new Error(error ?? "closed"));
        });
        socket.write(`STARTUP ${database} client\r\n`);
    });
}
