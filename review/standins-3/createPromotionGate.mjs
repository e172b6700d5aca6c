import { once } from "node:events";
import { createServer, request } from "node:http";

const unavailable = 503;

/** Creates a server in front of the platform's promotions, which answers 503 while `gate.isDown`: nothing is done then. */
export async function createPromotionGate(port, gate, record) {
    const server = createServer((incoming, response) => {
        const token = incoming.headers["x-fencing-token"];
        if (gate.isDown) {
            gate.refused += 1;
            record(`platform answers 503 to POST /promotion with token ${token}`);
            incoming.resume();
            incoming.once("end", () => response.writeHead(unavailable).end("{}"));
            return;
        }
        record(`platform accepts POST /promotion with token ${token}`);
        const { method, url: path, headers } = incoming;
        const outgoing = request({ host: "127.0.0.1", port, method, path, headers }, answer => {
            response.writeHead(answer.statusCode);
            answer.pipe(response);
        });
        incoming.pipe(outgoing);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    server.unref();
    return server.address().port;
}
