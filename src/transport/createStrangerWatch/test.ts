import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { transportConstants } from "../constants.js";
import { createStrangerWatch } from "./index.js";

/** A socket that notes whether it was destroyed. */
function createSocket() {
    const socket = Object.assign(new EventEmitter(), { bytesRead: 0, isDestroyed: false, destroy });
    function destroy(): void {
        socket.isDestroyed = true;
        socket.emit("close");
    }
    return { socket, asSocket: socket as unknown as Socket };
}

describe("createStrangerWatch", () => {
    it("closes a peer that sends much before it has proven itself", () => {
        const watch = createStrangerWatch(() => {});
        const [proven, stranger] = [createSocket(), createSocket()];
        watch.add(proven.asSocket);
        watch.add(stranger.asSocket);
        watch.acquit(proven.asSocket);
        for (const { socket } of [proven, stranger]) {
            socket.bytesRead = transportConstants.strangerBytes + 1;
            socket.emit("data");
        }
        assert.deepEqual([proven.socket.isDestroyed, stranger.socket.isDestroyed], [false, true]);
        assert.equal(watch.count(), 0);
    });

    it("closes the oldest of too many peers, and those that do not prove themselves in time", context => {
        context.mock.timers.enable({ apis: ["setTimeout"] });
        const reasons: string[] = [];
        const watch = createStrangerWatch(reason => reasons.push(reason));
        const sockets = Array.from({ length: transportConstants.maximumStrangers + 1 }, createSocket);
        sockets.forEach(({ asSocket }) => watch.add(asSocket));
        assert.deepEqual(sockets.map(({ socket }) => socket.isDestroyed).indexOf(false), 1);
        assert.equal(watch.count(), transportConstants.maximumStrangers);
        watch.acquit(sockets[1]!.asSocket);
        context.mock.timers.tick(transportConstants.proofTimeoutMilliseconds);
        assert.deepEqual(sockets.filter(({ socket }) => !socket.isDestroyed), [sockets[1]]);
        assert.equal(reasons.length, transportConstants.maximumStrangers);
    });
});
