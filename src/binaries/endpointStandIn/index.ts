#!/usr/bin/env node
import { runBinary } from "../../commandLine/runBinary/index.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createEmulatedNetwork } from "../../network/createEmulatedNetwork/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { readSettings } from "../../settings/readSettings/index.js";
import { createEndpointStandIn } from "../../standIns/endpoint/createEndpointStandIn/index.js";
import { endpointStandInSchema } from "../../standIns/endpoint/endpointStandInSchema/index.js";
import { printPortsOnStart } from "../../standIns/printPortsOnStart/index.js";

await runBinary({
    name: "tarragonpost-endpoint-stand-in",
    description: "Emulates one endpoint of a database group in tests.",
    readSettings: file => readSettings(file, endpointStandInSchema),
    createServices: settings => [
        {
            name: ServiceName.NetworkConditions,
            dependencies: [],
            create: () =>
                settings.emulatedNetwork === undefined
                    ? createUnemulatedNetwork(settings.availabilityZone)
                    : createEmulatedNetwork({
                        localZone: settings.availabilityZone,
                        processName: settings.name,
                        publisher: settings.emulatedNetwork,
                    }),
        },
        {
            name: ServiceName.EndpointStandIn,
            dependencies: [ServiceName.NetworkConditions],
            create: (conditions: NetworkConditions) => {
                const endpoint = createEndpointStandIn(settings, conditions);
                return printPortsOnStart(endpoint, () => ({ port: endpoint.port(), adminPort: endpoint.adminPort() }));
            },
        },
    ],
});
