import { describe, it } from "node:test";
import { hostileCallerConstants } from "../../constants.js";
import { playCrowd } from "../../playCrowd/index.js";
import type { HostileSite } from "../../types/HostileSite.js";
import { waitForRelease } from "../../waitForRelease/index.js";

const { messageBytes } = hostileCallerConstants;
const connectionCount = 400;
const upgrade = [
    "GET / HTTP/1.1",
    "Host: vm",
    "Connection: Upgrade",
    "Upgrade: websocket",
    "Sec-WebSocket-Version: 13",
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
    "\r\n",
].join("\r\n");
const frameMegabytes = 6;

/** The head of a masked binary frame of the WebSocket protocol that announces a length in bytes. */
function createFrameHead(bytes: number): Buffer {
    const head = Buffer.alloc(14);
    head[0] = 0x82;
    head[1] = 0xff;
    head.writeBigUInt64BE(BigInt(bytes), 2);
    return head;
}

const peerPort = ({ vm }: HostileSite) => vm.peerAddress;

describe("strangers at the port for other VMs", () => {
    it("hostile: strangers connect to the port for VMs and send half a request", () =>
        playCrowd({
            count: connectionCount,
            address: peerPort,
            begin: socket => socket.write(upgrade.slice(0, 40)),
            until: (_crowd, site) => waitForRelease(site.watch),
        }));

    it("hostile: strangers open channels of VMs and say nothing", () =>
        playCrowd({
            count: connectionCount,
            address: peerPort,
            begin: socket => socket.write(upgrade),
            until: (_crowd, site) => waitForRelease(site.watch),
        }));

    it("hostile: strangers send large frames without the secret, and never end them", () =>
        playCrowd({
            address: peerPort,
            begin: socket => {
                const bytes = frameMegabytes * messageBytes;
                socket.write(upgrade);
                socket.write(createFrameHead(bytes));
                socket.write(Buffer.alloc(bytes - 1));
            },
        }));
});
