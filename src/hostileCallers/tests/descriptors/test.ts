import { describe, it } from "node:test";
import { playCrowd } from "../../playCrowd/index.js";

/** More connections than the process may have descriptors. */
const connectionCount = 400;

describe("more connections than descriptors", () => {
    it("hostile: more clients connect than there are descriptors, and open no session", () =>
        playCrowd({ count: connectionCount, isStaying: true }));

    it("hostile: more clients open sessions than there are descriptors, and stay idle", () =>
        playCrowd({
            count: connectionCount,
            begin: socket => socket.write("STARTUP shop u1\r\n"),
            isStaying: true,
        }));
});
