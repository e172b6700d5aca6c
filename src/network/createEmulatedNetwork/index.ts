import { setTimeout as sleep } from "node:timers/promises";
import { WebSocket } from "ws";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { networkConstants } from "../constants.js";
import { createUnemulatedNetwork } from "../createUnemulatedNetwork/index.js";
import type { EmulatedLink } from "../types/EmulatedLink.js";
import type { LinkConditions } from "../types/LinkConditions.js";
import type { NetworkConditions } from "../types/NetworkConditions.js";

/** Options of `createEmulatedNetwork`. */
interface EmulatedNetworkOptions {
    readonly localZone: string;
    /** Name of this process; links of `zone/name` apply to the process in addition to those of its zone. */
    readonly processName: string;
    /** Address of the process that publishes the emulated network. */
    readonly publisher: { readonly host: string; readonly port: number; };
}

/**
 * Creates network conditions that follow a published emulated network.
 *
 * While the publisher is unreachable, the last received state stays in force.
 *
 * @param options Zone and name of this process and the publisher's address.
 * @returns The conditions, in force after `start`.
 * @throws TarragonpostError of kind `Unreachable` from `start` when the publisher does not answer.
 *
 * @example
 * const conditions = createEmulatedNetwork({ localZone: "ga-north-1", processName: "vm-1-entry", publisher });
 * await conditions.start();
 */
export function createEmulatedNetwork(
    options: EmulatedNetworkOptions,
): NetworkConditions & { start(): Promise<void>; stop(): Promise<void>; } {
    const { localZone, processName, publisher } = options;
    const unemulatedNetwork = createUnemulatedNetwork(localZone);
    const listeners = new Set<() => void>();
    const combinedLinks = new Map<string, LinkConditions>();
    let links = new Map<string, EmulatedLink>();
    let isStopped = false;
    let socket: WebSocket | undefined;

    function listPlaces(place: string): string[] {
        const [zone = place] = place.split("/");
        const ownPlace = place === localZone ? [`${localZone}/${processName}`] : [];
        return [...new Set([place, ...ownPlace, zone])];
    }

    function combine(from: string, to: string): LinkConditions {
        const matchingLinks = listPlaces(from).flatMap(source =>
            listPlaces(to).flatMap(target => links.get(`${source}>${target}`) ?? [])
        );
        const silenceStarts = matchingLinks.flatMap(link => link.silentSince ?? []);
        return {
            delayMilliseconds: Math.max(0, ...matchingLinks.map(link => link.delayMilliseconds)),
            isCut: matchingLinks.some(link => link.isCut),
            silentSince: silenceStarts.length === 0 ? undefined : Math.max(...silenceStarts),
        };
    }

    function linkBetween(from: string, to: string): LinkConditions {
        const key = `${from}>${to}`;
        const link = combinedLinks.get(key) ?? combine(from, to);
        combinedLinks.set(key, link);
        return link;
    }

    function applyState(state: string): void {
        const published = JSON.parse(state) as readonly EmulatedLink[];
        links = new Map(published.map(link => [`${link.from}>${link.to}`, link]));
        combinedLinks.clear();
        for (const listener of [...listeners]) {
            listener();
        }
    }

    async function connectOnce(onState: () => void): Promise<void> {
        socket = new WebSocket(`ws://${publisher.host}:${publisher.port}/`, { perMessageDeflate: false });
        socket.on("message", state => {
            applyState(String(state));
            onState();
        });
        socket.on("error", () => {});
        const openedSocket = socket;
        await new Promise<void>(resolve => openedSocket.once("close", () => resolve()));
    }

    async function stayConnected(onState: () => void): Promise<void> {
        while (!isStopped) {
            await connectOnce(onState);
            await sleep(networkConstants.reconnectMilliseconds, undefined, { ref: !isStopped });
        }
    }

    async function start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            const timer = setTimeout(() => {
                isStopped = true;
                reject(createError(
                    ErrorKind.Unreachable,
                    `The emulated network at ${publisher.host}:${publisher.port} did not answer.`,
                    { remedy: "Start its publisher first, or leave `emulatedNetwork` out of the settings." },
                ));
            }, networkConstants.startTimeoutMilliseconds);
            void stayConnected(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    async function stop(): Promise<void> {
        isStopped = true;
        socket?.terminate();
    }

    function onChange(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return {
        ...unemulatedNetwork,
        linkBetween,
        onChange,
        delayMillisecondsTo: address => linkBetween(localZone, address.availabilityZone).delayMilliseconds,
        start,
        stop,
    };
}
