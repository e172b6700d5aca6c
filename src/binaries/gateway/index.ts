#!/usr/bin/env node
import { runBinary } from "../../commandLine/runBinary/index.js";
import { listGatewayServices } from "../../gateway/listGatewayServices/index.js";
import { gatewaySettingsSchema } from "../../settings/gatewaySettingsSchema/index.js";
import { readSettings } from "../../settings/readSettings/index.js";

await runBinary({
    name: "tarragonpost-gateway",
    description: "Holds the connections to endpoints and takes part in membership, configuration and failover.",
    readSettings: file => readSettings(file, gatewaySettingsSchema),
    createServices: listGatewayServices,
});
