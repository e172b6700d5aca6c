import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { readSettings } from "../../settings/readSettings/index.js";
import { operatorSettingsSchema } from "../operatorSettingsSchema/index.js";
import type { OperatorConnection } from "../types/OperatorConnection.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";

/** Names of environment variables that replace options. */
enum Variable {
    Gateway = "TARRAGONPOST_GATEWAY",
    PeerSecret = "TARRAGONPOST_PEER_SECRET",
    Settings = "TARRAGONPOST_SETTINGS",
}

/**
 * Determines the gateway addresses and the peer secret from options, environment variables and the settings file.
 *
 * @param options The options of the command line.
 * @param environment The environment variables.
 * @returns Addresses of the gateways, and the peer secret.
 * @throws TarragonpostError of kind `InvalidSettings` when either is missing or malformed.
 *
 * @example
 * const connection = resolveConnection({ settings: "operator.jsonc" }, process.env);
 */
export function resolveConnection(
    options: OperatorOptions,
    environment: Readonly<Record<string, string | undefined>>,
): OperatorConnection {
    const file = options.settings ?? environment[Variable.Settings];
    const settings = file === undefined ? undefined : readSettings(file, operatorSettingsSchema);
    const gatewayText = options.gateway ?? environment[Variable.Gateway];
    const gateways = gatewayText === undefined
        ? settings?.gateways.map(gateway => ({ availabilityZone: "", ...gateway }))
        : [parseAddress(gatewayText)];
    const peerSecret = environment[Variable.PeerSecret] ?? settings?.peerSecret;
    if (gateways === undefined) {
        throw createError(ErrorKind.InvalidSettings, "No gateway is given.", {
            remedy: `Give --gateway HOST:PORT, --settings FILE, or set ${Variable.Gateway} or ${Variable.Settings}.`,
        });
    }
    if (peerSecret === undefined) {
        throw createError(ErrorKind.InvalidSettings, "No peer secret is given.", {
            remedy: `Give --settings FILE with a \`peerSecret\`, or set ${Variable.PeerSecret}.`,
        });
    }
    return { gateways, peerSecret };
}

function parseAddress(text: string): Address {
    const match = /^(.+):(\d+)$/.exec(text);
    if (!match) {
        throw createError(ErrorKind.InvalidSettings, `${text} is not a gateway address.`, {
            remedy: "Give the address as HOST:PORT.",
        });
    }
    return { host: match[1] as string, port: Number(match[2]), availabilityZone: "" };
}
