import { describe, it } from "node:test";
import { hostileCallerConstants } from "../../constants.js";
import { playEntryCrowd } from "../../playEntryCrowd/index.js";
import { waitForRelease } from "../../waitForRelease/index.js";

const { messageBytes } = hostileCallerConstants;
const connectionCount = 400;
/** The greatest body that the server accepts, less its JSON. */
const bodyBytes = 8 * messageBytes - 100;
const smallBytes = 1_000;
const answerlessRequests = 2_000;

function createHead(headers: readonly string[]): string {
    return [
        "POST /v1/databases/catalog-1/statements HTTP/1.1",
        "host: entry",
        "content-type: application/json",
        ...headers,
        "\r\n",
    ].join("\r\n");
}

function createRequest(bytes: number): string {
    const body = `{"kind":"Read","statement":"${"x".repeat(bytes)}"}`;
    return createHead([`content-length: ${body.length}`]) + body;
}

describe("HTTP clients that do not behave", () => {
    it("hostile: HTTP clients send large bodies at once", () =>
        playEntryCrowd({ begin: socket => socket.write(createRequest(bodyBytes)) }));

    it("hostile: HTTP clients send half of large bodies", () =>
        playEntryCrowd({ begin: socket => socket.write(createRequest(bodyBytes).slice(0, -smallBytes)) }));

    it("hostile: HTTP clients send bodies without a length, far over the limit", () =>
        playEntryCrowd({
            begin: socket => {
                const bytes = 8 * bodyBytes;
                socket.write(createHead(["transfer-encoding: chunked"]));
                socket.write(`${bytes.toString(16)}\r\n${"x".repeat(bytes)}`);
            },
            count: 10,
        }));

    it("hostile: HTTP callers with a key send half of large bodies without a length", () =>
        playEntryCrowd({
            begin: socket => {
                socket.write(createHead(["transfer-encoding: chunked", "authorization: Bearer key-of-dealer-1"]));
                socket.write(`${bodyBytes.toString(16)}\r\n${"x".repeat(bodyBytes - smallBytes)}`);
            },
        }));

    it("hostile: HTTP clients send requests ahead and read no answers", () =>
        playEntryCrowd({
            isReading: false,
            begin: socket => socket.write(createRequest(smallBytes).repeat(answerlessRequests)),
        }));

    it("hostile: HTTP clients stop half-way through their requests", () =>
        playEntryCrowd({
            begin: socket => socket.write(createRequest(smallBytes).slice(0, -smallBytes / 2)),
            until: (_crowd, watch) => waitForRelease(watch),
        }));

    it("hostile: more HTTP clients connect than there are descriptors", () =>
        playEntryCrowd({ count: connectionCount }));
});
