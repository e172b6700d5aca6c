import { connect } from "node:net";

const answerTimeoutMilliseconds = 5_000;

/** Opens a client's session; each call sends one message and waits for its complete answer. */
export async function openClient({ host, port }, database, user = "u1") {
    const socket = connect({ host, port, noDelay: true });
    let received = "";
    let lines = [];
    let resolveAnswer = () => {};
    let isClosed = false;
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
        isClosed = true;
        resolveAnswer({ isClosed, lines });
    });
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
        const parts = received.split("\r\n");
        received = parts.pop();
        for (const line of parts) {
            lines.push(line);
            if (line.startsWith("READY ")) {
                const answer = toAnswer(lines);
                lines = [];
                resolveAnswer(answer);
            }
        }
    });

    function send(message) {
        if (isClosed) {
            return Promise.resolve({ isClosed, lines: [] });
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => resolve({ isTimedOut: true, lines }), answerTimeoutMilliseconds);
            resolveAnswer = answer => {
                clearTimeout(timer);
                resolve(answer);
            };
            socket.write(`${message}\r\n`, "latin1");
        });
    }

    const opening = await send(`STARTUP ${database} ${user}`);
    return {
        opening,
        query: (id, text) => send(`QUERY ${id} ${text}`),
        isClosed: () => isClosed,
        close: () => socket.destroy(),
    };
}

function toAnswer(lines) {
    const errorLine = lines.find(line => line.startsWith("ERROR "));
    return {
        lines,
        rows: lines.filter(line => line.startsWith("ROW ")).map(line => line.slice(4)),
        isSuccess: errorLine === undefined && lines.some(line => line.startsWith("COMPLETE ")),
        failure: errorLine?.split(" ")[1],
        state: lines.at(-1).split(" ")[1],
    };
}
