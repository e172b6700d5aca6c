import { encode } from "@msgpack/msgpack";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import type { FrameSocket } from "../../network/types/FrameSocket.js";
import { transportConstants } from "../constants.js";
import { createPeerProof } from "../createPeerProof/index.js";
import { decodeFrame } from "../decodeFrame/index.js";
import { deserializeError } from "../deserializeError/index.js";
import type { Frame } from "../types/Frame.js";
import { FrameKind } from "../types/FrameKind.js";
import type { PeerIdentity } from "../types/PeerIdentity.js";

/**
 * Authenticates this process on a new connection: answers the peer's challenge and waits for its welcome.
 *
 * @param socket The open connection.
 * @param identity Identity of this process.
 * @param address Address of the peer, for error messages.
 * @throws TarragonpostError of kind `Unreachable`, `ProtocolMismatch` or `PeerRejected`; the connection is then closed.
 *
 * @example
 * await performHandshake(socket, identity, address);
 */
export async function performHandshake(socket: FrameSocket, identity: PeerIdentity, address: Address): Promise<void> {
    const { protocolVersion, connectTimeoutMilliseconds } = transportConstants;
    const label = `${address.host}:${address.port}`;
    await new Promise<void>((resolve, reject) => {
        const fail = (error: Error): void => {
            clearTimeout(timer);
            socket.close();
            reject(error);
        };
        const timer = setTimeout(() => {
            fail(createError(ErrorKind.Unreachable, `${label} did not finish the handshake in time.`, {
                remedy: "Check which program listens there.",
            }));
        }, connectTimeoutMilliseconds);
        let isDone = false;
        socket.closed.then(() => {
            fail(createError(ErrorKind.Unreachable, `${label} closed the connection during the handshake.`, {
                remedy: "Check which program listens there.",
            }));
        }, () => {});
        socket.onFrame(bytes => {
            if (isDone) {
                return;
            }
            const frame = decodeOrFail(bytes, fail);
            if (frame === undefined) {
                return;
            }
            if (frame[0] === FrameKind.Challenge) {
                if (frame[1] !== protocolVersion) {
                    fail(createError(
                        ErrorKind.ProtocolMismatch,
                        `${label} speaks version ${frame[1]} of the peer protocol, this process ${protocolVersion}.`,
                        { remedy: "Run versions of the product that speak the same protocol." },
                    ));
                    return;
                }
                const proof = createPeerProof(identity.peerSecret, frame[2], identity.name);
                const hello: Frame = [
                    FrameKind.Hello,
                    protocolVersion,
                    identity.name,
                    identity.availabilityZone,
                    proof,
                ];
                socket.send(encode(hello, { ignoreUndefined: true }));
            }
            else if (frame[0] === FrameKind.Reject) {
                fail(deserializeError(frame[1]));
            }
            else if (frame[0] === FrameKind.Welcome) {
                isDone = true;
                clearTimeout(timer);
                resolve();
            }
        });
    });
}

function decodeOrFail(bytes: Uint8Array, fail: (error: Error) => void): Frame | undefined {
    try {
        return decodeFrame(bytes);
    }
    catch (error) {
        fail(toTypedError(error));
        return undefined;
    }
}
