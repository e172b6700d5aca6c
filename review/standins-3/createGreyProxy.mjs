import { once } from "node:events";
import { connect, createServer } from "node:net";

/**
 * Creates a proxy in front of a backend that fails a share of its requests while `grey.share` is above 0: a request that
 * arrives outside of a transaction is then not executed, changes nothing, and is answered with `ERROR FAILED`. All other
 * requests reach the backend, one after the other, as a backend executes them.
 */
export async function createGreyProxy(port, grey) {
    const server = createServer(socket => serve(socket, port, grey));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server.address().port;
}

function serve(socket, port, grey) {
    const backend = connect({ host: "127.0.0.1", port, noDelay: true });
    const requests = [];
    let requestText = "";
    let answerText = "";
    let state = "I";
    let position = "-";
    let isWaiting = false;
    socket.setNoDelay(true);
    for (const [one, other] of [[socket, backend], [backend, socket]]) {
        one.on("error", () => one.destroy());
        one.on("close", () => other.destroy());
    }

    function sendNext() {
        while (!isWaiting && requests.length > 0) {
            const request = requests.shift();
            if (state === "I" && request.startsWith("QUERY ") && grey.fails(request)) {
                socket.write(`ERROR FAILED the backend failed\r\nREADY I ${position}\r\n`, "latin1");
            }
            else {
                isWaiting = true;
                backend.write(`${request}\r\n`, "latin1");
            }
        }
    }

    socket.on("data", chunk => {
        const lines = (requestText + chunk.toString("latin1")).split("\r\n");
        requestText = lines.pop();
        requests.push(...lines);
        sendNext();
    });
    backend.on("data", chunk => {
        const lines = (answerText + chunk.toString("latin1")).split("\r\n");
        answerText = lines.pop();
        for (const line of lines) {
            socket.write(`${line}\r\n`, "latin1");
            if (line.startsWith("READY ")) {
                [, state, position] = line.split(" ");
                isWaiting = false;
            }
        }
        sendNext();
    });
}
