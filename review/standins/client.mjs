/** A client of the system: one session over one connection, one statement after the other. */
import { once } from "node:events";
import { connect } from "node:net";
import { createLineReader, splitFields } from "./lines.mjs";

let lastStatement = 0;

export async function openClient({ host, port, database }) {
    const socket = connect({ host, port, noDelay: true });
    const waiting = [];
    let rows = [];
    let signature;
    let error;
    let isClosed = false;
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
        isClosed = true;
        waiting.splice(0).forEach(resolve => resolve({ closed: true }));
    });
    const read = createLineReader(line => {
        const [word, fields = ""] = splitFields(line, 2);
        if (word === "ROW") {
            rows.push(fields);
        }
        else if (word === "COMPLETE") {
            signature = fields;
        }
        else if (word === "ERROR") {
            error = fields;
        }
        else if (word === "READY") {
            waiting.shift()?.({ rows, signature, error, state: fields[0] });
            [rows, signature, error] = [[], undefined, undefined];
        }
    });
    socket.on("data", read);
    const next = () => isClosed ? Promise.resolve({ closed: true }) : new Promise(resolve => waiting.push(resolve));
    await once(socket, "connect").catch(() => {});
    const opened = next();
    socket.write(`STARTUP ${database} u1\r\n`);
    const opening = await opened;
    return {
        socket,
        opening,
        nextId: () => {
            lastStatement += 1;
            return `c${process.pid.toString(16)}${lastStatement.toString(16).padStart(6, "0")}`;
        },
        run: (id, text) => {
            const answer = next();
            socket.write(`QUERY ${id} ${text}\r\n`, "latin1");
            return answer;
        },
        close: () => socket.destroy(),
    };
}
