import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { siteConstants } from "../constants.js";
import type { PortReservation } from "../types/PortReservation.js";
import { reservePorts } from "./index.js";

const siteCount = 30;
const portsPerSite = 15;

async function release(reservations: readonly PortReservation[]): Promise<void> {
    await Promise.all(reservations.map(reservation => reservation.release()));
}

describe("reservePorts", () => {
    it("never gives two sites the same port while the processes of the first are still starting", async () => {
        const reservations: PortReservation[] = [];
        for (let site = 0; site < siteCount; site += 1) {
            reservations.push(await reservePorts(portsPerSite));
        }
        const ports = reservations.flatMap(reservation => reservation.ports);
        await release(reservations);
        assert.equal(new Set(ports).size, siteCount * portsPerSite);
    });

    it("gives no port that the system may choose for a connection or for a listener on any port", async () => {
        const reservation = await reservePorts(portsPerSite);
        const server = createServer().listen(0, siteConstants.host);
        await once(server, "listening");
        const { port } = server.address() as { port: number; };
        server.close();
        await reservation.release();
        assert.ok(Math.max(...reservation.ports) < port);
    });

    it("skips a port on which a process listens", async () => {
        const reservation = await reservePorts(portsPerSite);
        const taken = reservation.ports[0];
        const server = createServer().listen(taken, siteConstants.host);
        await once(server, "listening");
        await reservation.release();
        const second = await reservePorts(1, reservation.ports);
        await second.release();
        server.close();
        assert.notEqual(second.ports[0], taken);
    });

    it("fails while too few ports are unreserved, and holds none of them afterwards", async () => {
        const held = await reservePorts(portsPerSite);
        const released = await reservePorts(portsPerSite);
        await released.release();
        await assert.rejects(
            reservePorts(portsPerSite + 1, [...released.ports, ...held.ports]),
            new RegExp(`of ${portsPerSite + 1} ports are free`),
        );
        const again = await reservePorts(1, released.ports);
        await release([held, again]);
    });

    it("leaves a reserved port free for a listener", async () => {
        const reservation = await reservePorts(1);
        const server = createServer().listen(reservation.ports[0], siteConstants.host);
        await once(server, "listening");
        server.close();
        await reservation.release();
    });
});
